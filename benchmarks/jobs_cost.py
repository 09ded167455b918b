"""Measures the CPU time of a scheduling round at three sizes of a zone.

Run it with ``python -m benchmarks.jobs_cost``. The largest size is one zone's share of 820 workers
in 8 zones with 11,000 tasks and 260 teams. The figures are judged by two required bounds: an urgent
job starts within 1.4 s, and the control plane uses at most 2.7% of a core.
"""

from __future__ import annotations

import copy
import random
import statistics
import time

import msgspec

from jujubehall.core.configuration.document import Shape
from jujubehall.core.jobs.decisions import Decision
from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import place_gang
from jujubehall.core.jobs.policy import Policy
from jujubehall.core.jobs.zone_view import JobView
from jujubehall.core.jobs.zone_view import TeamView
from jujubehall.core.jobs.zone_view import WorkerView
from jujubehall.core.jobs.zone_view import ZoneView
from jujubehall.identifiers import JobId
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.workers.messages import Resources

ZONE = ZoneName("zone")
CAPACITY = Resources(8, 130, 250)
ROUNDS = 30
SHAPES = ((1, 0), (1, 0), (1, 1), (1, 1), (2, 1), (1, 2), (1, 4), (4, 1), (8, 1), (2, 8), (64, 0))
MINUTE_MS = 60_000


class Size(msgspec.Struct, frozen=True):
    """The load of one zone."""

    workers: int
    tasks: int
    teams: int
    queued: int


SIZES = (Size(8, 110, 4, 10), Size(103, 1_400, 260, 20), Size(103, 1_400, 260, 400))


def make_view(size: Size, seed: int) -> ZoneView:
    """Makes a zone filled with running tasks, and a queue.

    At most a third of the teams hold guarantees, which cover about 60% of the zone at most.
    """
    rng = random.Random(seed)
    names = [WorkerName(f"w{number:03}") for number in range(size.workers)]
    racks = {name: RackName(f"r{number // 8}") for number, name in enumerate(names)}
    free = {name: FreeResources(name, racks[name], 8, 130, 250, 8) for name in names}
    teams = [TeamName(f"team-{number:03}") for number in range(size.teams)]
    guaranteed_teams = teams[: max(1, min(size.teams // 3, size.workers * 8 * 6 // 10 // 6))]
    team_views = tuple(
        TeamView(name, Shape(1, (4, 8)[number % 2]) if name in guaranteed_teams else None, None)
        for number, name in enumerate(teams)
    )
    running: list[JobView] = []
    tasks = 0
    for number in range(20 * size.tasks):
        if tasks >= size.tasks:
            break
        spec = _draw_spec(rng, teams)
        placement = place_gang(spec, free.values())
        if placement is None:
            continue
        for part in placement:
            free[part.worker].allocate(spec)
        tasks += spec.parts
        record = JobRecord(
            JobId(f"run-{number}"), spec, JobState.RUNNING, ZONE, 0, placement=placement
        )
        running.append(JobView(record, 0, number, 30_000))
    queued = tuple(
        JobView(JobRecord(JobId(f"wait-{n}"), _draw_spec(rng, teams), JobState.QUEUED, ZONE, 0), n)
        for n in range(size.queued)
    )
    workers = tuple(
        WorkerView(
            name,
            racks[name],
            CAPACITY,
            Resources(
                8 - free[name].accelerators, 130 - free[name].cores, 250 - free[name].memory_gb
            ),
            Resources(0),
        )
        for name in names
    )
    return ZoneView(ZONE, 30 * MINUTE_MS, workers, queued, tuple(running), team_views, 0.5)


def _draw_spec(rng: random.Random, teams: list[TeamName]) -> JobSpec:
    parts, accelerators = rng.choice(SHAPES)
    return JobSpec(
        rng.choice(teams),
        "small",
        parts,
        accelerators,
        cores_per_part=1 + 2 * accelerators,
        memory_gb_per_part=1 + 4 * accelerators,
        run_time_ms=rng.randrange(MINUTE_MS, 300 * MINUTE_MS),
        adjacent=rng.random() < 0.8,
    )


def measure(size: Size) -> None:
    """Prints the CPU time of a zone's rounds.

    The rounds are the first one, the later ones that still decide something, an unchanged one
    and one with an urgent job.
    """
    first_ms: list[float] = []
    later_ms: list[float] = []
    unchanged_ms: list[float] = []
    urgent_ms: list[float] = []
    urgent_started = 0
    for seed in range(ROUNDS):
        view = make_view(size, seed)
        policy = Policy()
        first_ms.append(_time_decide_ms(Policy(), view))
        view = _apply(view, policy.decide(view))
        while decisions := _decide_timed(policy, view, later_ms):
            view = _apply(view, decisions)
        unchanged = copy.deepcopy(msgspec.structs.replace(view, now_ms=view.now_ms + 200))
        unchanged_ms.append(_time_decide_ms(policy, unchanged))
        spec = JobSpec(TeamName("team-000"), "slot", 1, 4, urgent=True)
        job = JobView(JobRecord(JobId("urgent"), spec, JobState.QUEUED, ZONE, 0), view.now_ms)
        view_with_urgent_job = msgspec.structs.replace(view, queued=(*view.queued, job))
        started_s = time.process_time()
        decisions = policy.decide(view_with_urgent_job)
        urgent_ms.append((time.process_time() - started_s) * 1_000)
        urgent_started += any(
            (isinstance(d, Place) and d.job == "urgent")
            or (isinstance(d, Preempt) and d.beneficiary == "urgent")
            for d in decisions
        )
    jobs = len(view.running)
    print(
        f"| {size.workers} | {size.tasks} ({jobs} jobs) | {size.teams} | {size.queued} "
        f"| {_format_ms(first_ms)} | {_format_ms(later_ms)} | {_format_ms(unchanged_ms)} "
        f"| {_format_ms(urgent_ms)} | {urgent_started} of {ROUNDS} |"
    )


def _apply(view: ZoneView, decisions: list[Decision]) -> ZoneView:
    """Returns the view after the decisions: placed jobs run, preempted and moved jobs stop."""
    placed = {d.job: d.placement for d in decisions if isinstance(d, Place)}
    refused = {d.job for d in decisions if isinstance(d, Reject)}
    stopped = {d.job for d in decisions if isinstance(d, Preempt | Move)}
    running = [
        (
            _with_state(job, JobState.STOPPING, job.record.placement)
            if job.record.id in stopped
            else job
        )
        for job in view.running
    ]
    held = {worker.name: worker.held for worker in view.workers}
    for job in view.queued:
        spec = job.record.spec
        if job.record.id not in placed:
            continue
        running.append(_with_state(job, JobState.RUNNING, placed[job.record.id]))
        for part in placed[job.record.id]:
            have = held[part.worker]
            held[part.worker] = Resources(
                have.accelerators + spec.accelerators_per_part,
                have.cores + spec.cores_per_part,
                have.memory_gb + spec.memory_gb_per_part,
            )
    return msgspec.structs.replace(
        view,
        now_ms=view.now_ms + 200,
        workers=tuple(msgspec.structs.replace(w, held=held[w.name]) for w in view.workers),
        queued=tuple(j for j in view.queued if j.record.id not in {*placed, *refused}),
        running=tuple(running),
    )


def _with_state(job: JobView, state: JobState, placement: tuple[PartPlacement, ...]) -> JobView:
    record = msgspec.structs.replace(job.record, state=state, placement=placement)
    return msgspec.structs.replace(job, record=record)


def _time_decide_ms(policy: Policy, view: ZoneView) -> float:
    started_s = time.process_time()
    policy.decide(view)
    return (time.process_time() - started_s) * 1_000


def _decide_timed(policy: Policy, view: ZoneView, durations_ms: list[float]) -> list[Decision]:
    started_s = time.process_time()
    decisions = policy.decide(view)
    durations_ms.append((time.process_time() - started_s) * 1_000)
    return decisions


def _format_ms(values: list[float]) -> str:
    return f"{statistics.median(values):.1f} (max {max(values):.1f})"


def main() -> None:
    """Prints a table with CPU times in milliseconds."""
    print(
        "| workers | tasks | teams | queued | first ms | later ms | unchanged ms | urgent ms | urgent begun |"
    )
    print("|---" * 9 + "|")
    for size in SIZES:
        measure(size)


if __name__ == "__main__":
    main()
