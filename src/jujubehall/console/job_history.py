"""Puts the log lines of one job, from any number of entry hosts, in order and into words."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

SITE_EVENTS = frozenset(
    {
        "elected owner",
        "took over",
        "ownership lost",
        "owner resigns",
        "store lost",
        "store regained",
        "process stood still",
    }
)
"""Events that concern every job that is not at its end when they happen."""

_DESCRIPTIONS: dict[str, Callable[[dict[str, Any]], str]] = {}


class HistoryLine(msgspec.Struct, frozen=True):
    """One event of a job's life."""

    timestamp: str
    entry_host: str
    text: str


def read_events(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Reads JSON log lines; what stands before the first brace of a line is passed over."""
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = msgspec.json.decode(line[start:].strip())
        except msgspec.DecodeError:
            continue
        if isinstance(event, dict) and "event" in event and "timestamp" in event:
            events.append(event)
    return sorted(events, key=lambda each: str(each["timestamp"]))


def job_history(events: list[dict[str, Any]], job: str) -> list[HistoryLine]:
    """The events of one job, with those of the site that happened between them."""
    own = [number for number, event in enumerate(events) if event.get("job") == job]
    if not own:
        return []
    return [
        HistoryLine(str(event["timestamp"]), str(event.get("entry_host", "?")), _describe(event))
        for event in events[own[0] : own[-1] + 1]
        if event.get("job") == job or event["event"] in SITE_EVENTS
    ]


def describes(name: str) -> Callable[[Callable[[dict[str, Any]], str]], Any]:
    """Registers the decorated function as the one that puts the event ``name`` into words."""

    def decorate(describe: Callable[[dict[str, Any]], str]) -> Any:
        _DESCRIPTIONS[name] = describe
        return describe

    return decorate


def _describe(event: dict[str, Any]) -> str:
    describe = _DESCRIPTIONS.get(event["event"], _describe_plainly)
    return describe(event)


def _describe_plainly(event: dict[str, Any]) -> str:
    hidden = {"event", "timestamp", "entry_host", "level", "job"}
    details = " ".join(f"{name}={value}" for name, value in event.items() if name not in hidden)
    return f"{event['event']} {details}".strip()


@describes("job submitted")
def _submitted(event: dict[str, Any]) -> str:
    return (
        f"submitted to queue {event.get('queue')} by team {event.get('team')}: "
        f"{event.get('outcome')} after {event.get('took_ms')} ms "
        f"(configuration {event.get('version')})"
    )


@describes("call refused")
def _refused(event: dict[str, Any]) -> str:
    return (
        f"refused: {event.get('reason')} (configuration {event.get('version')}, "
        f"known to be the latest {event.get('configuration_age_ms')} ms before)"
    )


@describes("group starts")
def _starts(event: dict[str, Any]) -> str:
    workers = ", ".join(event.get("workers", []))
    return (
        f"group {event.get('group')} starts as run {event.get('run')} on {workers}, "
        f"{event.get('waited_ms')} ms after it was ready"
    )


@describes("group waits")
def _waits(event: dict[str, Any]) -> str:
    workers = ", ".join(event.get("workers", []))
    return (
        f"group {event.get('group')} waits for room on {workers}, where other work is expected to "
        f"end in {event.get('expected_wait_ms')} ms"
    )


@describes("group stops")
def _stops(event: dict[str, Any]) -> str:
    by = f" for job {event['by']}" if event.get("by") else ""
    return (
        f"group {event.get('group')}, run {event.get('run')}, is stopped: {event.get('reason')}{by}"
    )


@describes("run ended")
def _ended(event: dict[str, Any]) -> str:
    return (
        f"task {event.get('task')}, run {event.get('run')}, ended on {event.get('worker')}: "
        f"{event.get('how')}"
    )


@describes("job state kept")
def _kept(event: dict[str, Any]) -> str:
    return f"state {event.get('state')} is kept in the store and shown from now on"
