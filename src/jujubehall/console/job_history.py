"""Builds a readable, time-ordered history of one job from the JSON logs of entry hosts."""

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
        "zone evacuated",
        "zone returned",
        "starts suspended",
        "starts resumed",
    }
)
"""Log events of the whole site, which affect every job that is unfinished at that time."""

RUNS_LOST = "runs lost with worker"
"""A log event that names runs of several jobs."""

_FORMATTERS: dict[str, Callable[[dict[str, Any]], str]] = {}


class HistoryLine(msgspec.Struct, frozen=True):
    """An event in the history of a job."""

    timestamp: str
    entry_host: str
    text: str


def read_events(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Parses JSON log lines and returns their events sorted by timestamp.

    Text before the first brace of a line is ignored. Lines that aren't JSON objects with an event
    and a timestamp are skipped.
    """
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
    return sorted(events, key=lambda event: str(event["timestamp"]))


def job_history(events: list[dict[str, Any]], job: str) -> list[HistoryLine]:
    """Returns the events of one job, and the site events between its first and its last."""
    job_indexes = [index for index, event in enumerate(events) if _concerns(event, job)]
    if not job_indexes:
        return []
    return [
        HistoryLine(
            str(event["timestamp"]), str(event.get("entry_host", "?")), _format_event(event)
        )
        for event in events[job_indexes[0] : job_indexes[-1] + 1]
        if _concerns(event, job) or event["event"] in SITE_EVENTS
    ]


def _concerns(event: dict[str, Any], job: str) -> bool:
    if event["event"] == RUNS_LOST:
        return any(run[0] == job for run in event.get("runs", ()))
    return event.get("job") == job


def event_formatter(event_name: str) -> Callable[[Callable[[dict[str, Any]], str]], Any]:
    """Registers the decorated function as the formatter of the log event ``event_name``."""

    def decorate(formatter: Callable[[dict[str, Any]], str]) -> Any:
        _FORMATTERS[event_name] = formatter
        return formatter

    return decorate


def _format_event(event: dict[str, Any]) -> str:
    formatter = _FORMATTERS.get(event["event"], _format_other_event)
    return formatter(event)


def _format_other_event(event: dict[str, Any]) -> str:
    omitted_fields = {"event", "timestamp", "entry_host", "level", "job"}
    details = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in omitted_fields
    )
    return f"{event['event']} {details}".strip()


@event_formatter("job submitted")
def _format_job_submitted(event: dict[str, Any]) -> str:
    return (
        f"submitted to queue {event.get('queue')} by team {event.get('team')}: "
        f"{event.get('outcome')} after {event.get('took_ms')} ms "
        f"(configuration {event.get('version')})"
    )


@event_formatter("call refused")
def _format_call_refused(event: dict[str, Any]) -> str:
    return (
        f"rejected: {event.get('reason')} (configuration {event.get('version')}, "
        f"last confirmed as current {event.get('configuration_age_ms')} ms earlier)"
    )


@event_formatter("group starts")
def _format_group_starts(event: dict[str, Any]) -> str:
    workers = ", ".join(event.get("workers", []))
    return (
        f"group {event.get('group')} starts as run {event.get('run')} on {workers}, "
        f"{event.get('waited_ms')} ms after it became ready"
    )


@event_formatter("group waits")
def _format_group_waits(event: dict[str, Any]) -> str:
    workers = ", ".join(event.get("workers", []))
    return (
        f"group {event.get('group')} waits for capacity on {workers}, where other work is expected "
        f"to end in {event.get('expected_wait_ms')} ms"
    )


@event_formatter("group stops")
def _format_group_stops(event: dict[str, Any]) -> str:
    beneficiary = f" for job {event['by']}" if event.get("by") else ""
    return (
        f"group {event.get('group')}, run {event.get('run')}, is stopped: "
        f"{event.get('reason')}{beneficiary}"
    )


@event_formatter("run ended")
def _format_run_ended(event: dict[str, Any]) -> str:
    return (
        f"task {event.get('task')}, run {event.get('run')}, ended on {event.get('worker')}: "
        f"{event.get('how')}"
    )


@event_formatter("job state kept")
def _format_job_state_stored(event: dict[str, Any]) -> str:
    return f"state {event.get('state')} is stored and visible to callers"


@event_formatter(RUNS_LOST)
def _format_runs_lost(event: dict[str, Any]) -> str:
    runs = ", ".join(
        f"{job} {task} run {run} after {at_work_ms} ms"
        for (job, task, run), at_work_ms in zip(
            event.get("runs", ()), event.get("at_work_ms", ()), strict=False
        )
    )
    return (
        f"worker {event.get('worker')} is lost ({event.get('how')}, "
        f"up for {event.get('up_ms')} ms) with: {runs}"
    )


@event_formatter("job given up")
def _format_job_given_up(event: dict[str, Any]) -> str:
    crashes = "; ".join(
        f"group {group}: {', '.join(runs)}" for group, runs in event.get("crashes", {}).items()
    )
    return f"given up, since {event.get('reason')} ({crashes})"
