"""The promises about jobs, by the workers' own account of what ran when."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from jujubehall.core.jobs.gang_timing import PARTIAL_GANG_BOUND_MS
from jujubehall.core.jobs.job import JOBS_PREFIX
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import archive_key
from jujubehall.core.jobs.job import job_key
from jujubehall.identifiers import JobId
from jujubehall.testing.randomised.registry import invariant
from jujubehall.testing.randomised.violation import Violation
from jujubehall.testing.randomised.world import SETTLING_LIMIT_MS
from jujubehall.workers.messages import TaskState

if TYPE_CHECKING:
    from jujubehall.testing.randomised.world import World
    from jujubehall.testing.virtual.site import VirtualSite
    from jujubehall.testing.worker_state import Span
    from jujubehall.workers.messages import TaskKey

WHOLE = "no gang runs with only some of its parts"
ONCE = "no job runs twice at once"
KEPT = "nothing accepted is lost"

Attempts = dict[tuple[JobId, int], dict["TaskKey", "Span"]]


@invariant(WHOLE)
def gangs_run_whole(world: World) -> None:
    """Checks every attempt that any worker has run."""
    check_workers(world.site)


@invariant(KEPT)
def ended_jobs_stay_ended(world: World) -> None:
    """What has ended stays as it ended."""
    recorded = recorded_jobs(world.site)
    for job, state in world.ended_jobs.items():
        if recorded.get(job, state) is not state:
            raise Violation(KEPT, f"{job} had ended as {state} and is {recorded[job]}")
    world.ended_jobs.update((job, state) for job, state in recorded.items() if state.is_final)


@invariant(KEPT, at_end=True)
def accepted_jobs_end(world: World) -> None:
    """After the end of all failures every accepted job comes to its end."""
    world.site.run_until(lambda: not _unfinished(world.site), SETTLING_LIMIT_MS)
    recorded = recorded_jobs(world.site)
    for job in world.accepted_jobs:
        if job not in recorded and job not in world.ended_jobs:
            raise Violation(KEPT, f"{job} was accepted and is nowhere")
    check_workers(world.site)


def recorded_jobs(site: VirtualSite) -> dict[JobId, JobState]:
    """The states of the recorded jobs, archived ones included."""
    prefixes = [archive_key(JobId("")), job_key(JobId(""))]
    entries = [each for prefix in prefixes for each in site.store.list_entries(prefix).entries]
    return {JobId(each.value["id"]): JobState(each.value["state"]) for each in entries}


def _unfinished(site: VirtualSite) -> list[JobId]:
    return [job for job, state in recorded_jobs(site).items() if not state.is_final]


def spans(site: VirtualSite) -> Attempts:
    """When the parts of each attempt ran."""
    attempts: Attempts = defaultdict(dict)
    for worker in site.workers.values():
        assert worker.tasks is not None
        for key, span in worker.spans.items():
            if key in attempts[key.job, key.attempt]:
                raise Violation(ONCE, f"{key} started on two workers")
            attempts[key.job, key.attempt][key] = span
    return attempts


def check_workers(site: VirtualSite, bound_ms: int = PARTIAL_GANG_BOUND_MS) -> None:
    """Raises ``Violation`` if a promise about gangs was broken."""
    now_ms = site.clock.now_ms
    sizes = {
        JobId(entry.key.removeprefix(JOBS_PREFIX)): entry.value["spec"]["parts"]
        for entry in site.store.list_entries(JOBS_PREFIX).entries
    }
    last_end: dict[JobId, int] = {}
    for (job, attempt), parts in sorted(spans(site).items(), key=lambda item: item[0]):
        _check_attempt(f"{job} attempt {attempt}", parts, sizes.get(job), now_ms, bound_ms)
        began = min(span.began_at_ms for span in parts.values())
        if began < last_end.get(job, 0):
            raise Violation(ONCE, f"{job}: attempt {attempt} began before the last one's end")
        last_end[job] = max(_end(span, now_ms) for span in parts.values())
    _check_started_once(site)
    _check_all_reserved_first(site, sizes)


def _check_attempt(
    name: str, parts: dict[TaskKey, Span], size: int | None, now_ms: int, bound_ms: int
) -> None:
    losses = [
        span.ended_at_ms
        for span in parts.values()
        if span.ended_at_ms is not None and span.outcome is not TaskState.SUCCEEDED
    ]
    if size is not None and len(parts) < size:
        losses.append(min(span.began_at_ms for span in parts.values()))
    if not losses:
        return
    partial_ms = max(_end(span, now_ms) for span in parts.values()) - min(losses)
    if partial_ms > bound_ms:
        raise Violation(WHOLE, f"{name} was partial for {partial_ms} ms, bound {bound_ms} ms")


def _check_started_once(site: VirtualSite) -> None:
    for worker in site.workers.values():
        for key, count in worker.started.items():
            if count != 1:
                raise Violation(ONCE, f"{key} was started {count} times")


def _check_all_reserved_first(site: VirtualSite, sizes: dict[JobId, int]) -> None:
    reserved: dict[tuple[JobId, int], dict[int, int]] = defaultdict(dict)
    for worker in site.workers.values():
        for key, at_ms in worker.reserved_at_ms.items():
            reserved[key.job, key.attempt][key.part] = at_ms
    for attempt, parts in spans(site).items():
        times = reserved[attempt]
        began = min(span.began_at_ms for span in parts.values())
        if len(times) < sizes.get(attempt[0], 0) or max(times.values()) > began:
            raise Violation(WHOLE, f"{attempt}: a part began before all were reserved")


def _end(span: Span, now_ms: int) -> int:
    return now_ms if span.ended_at_ms is None else span.ended_at_ms
