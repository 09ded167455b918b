"""Replays a trace of jobs against a scheduling policy in virtual time."""

from __future__ import annotations

import heapq

from typing import Protocol

import msgspec

from benchmarks.jobs_trace import ACCELERATORS_PER_WORKER
from benchmarks.jobs_trace import HOUR_MS
from benchmarks.jobs_trace import TEAMS
from benchmarks.jobs_trace import WORKER_MEMORY_GB
from benchmarks.jobs_trace import WORKERS_PER_ZONE
from benchmarks.jobs_trace import Site
from benchmarks.jobs_trace import TraceJob
from benchmarks.jobs_trace import site_racks
from jujubehall.core.configuration.document import Shape
from jujubehall.core.jobs.decisions import Decision
from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.packing import pack_guarantees
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

CHECKPOINT_MS = 10_000
"""Time from the decision to stop a job, with a last checkpoint, until its workers are free."""

STOP_MS = 500
"""Time from the decision to stop a job at once, without a checkpoint, until they are free."""

CHECKPOINT_INTERVAL_MS = 600_000
CHECKPOINT_LOSS_MS = 30_000
RESTART_MS = 30_000
LARGE_GANG_ACCELERATORS = 16


class ReplayedPolicy(Protocol):
    """The interface of a policy that can be replayed."""

    def decide(self, view: ZoneView) -> list[Decision]:
        """Returns the decisions for the zone's present state."""

    def record_finished(self, record: JobRecord, run_time_ms: int) -> None:
        """Records how long a finished job ran."""


class Outcome(msgspec.Struct):
    """The results of one replay; times in milliseconds, work in accelerator-milliseconds.

    ``block_share_sum`` adds up, while a large gang waits, the share of the free accelerators that
    lies on idle workers or on the emptiest partly used one. ``unusable_sum`` adds up the share of
    the free accelerators that no waiting large gang can use. Both are weighted by time.
    """

    completion_times_ms: list[int] = []
    slowdowns: list[float] = []
    large_gang_waits_ms: list[int] = []
    urgent_waits_ms: list[int] = []
    reclaim_waits_ms: list[int] = []
    lost_accelerator_ms: int = 0
    preemptions: int = 0
    moves: int = 0
    refused: int = 0
    never_ran: int = 0
    block_share_sum: float = 0.0
    block_share_ms: int = 0
    unusable_sum: float = 0.0
    unusable_ms: int = 0


class _ReplayedJob(msgspec.Struct):
    trace: TraceJob
    remaining_ms: int
    attempt: int = 0
    started_ms: int = 0
    first_start_ms: int | None = None
    is_within_guarantee: bool = False
    placement: tuple[PartPlacement, ...] = ()
    moves_to: tuple[PartPlacement, ...] = ()
    state: JobState = JobState.QUEUED

    @property
    def accelerators(self) -> int:
        return self.trace.spec.parts * self.trace.spec.accelerators_per_part

    def view(self, now_ms: int, zone: ZoneName) -> JobView:
        record = JobRecord(
            self.trace.id, self.trace.spec, self.state, zone, 0, placement=self.placement
        )
        return JobView(
            record,
            self.trace.submitted_ms,
            self.started_ms,
            self.loss_ms(now_ms),
            self.loss_ms(now_ms, at_once=True),
        )

    def loss_ms(self, now_ms: int, *, at_once: bool = False) -> int:
        age_ms = max(0, now_ms - self.started_ms)
        if at_once and self.trace.can_checkpoint:
            return age_ms % CHECKPOINT_INTERVAL_MS
        return min(age_ms, CHECKPOINT_LOSS_MS) if self.trace.can_checkpoint else age_ms


class ZoneReplay:
    """Simulates one availability zone: its workers, queue and running jobs."""

    def __init__(self, name: ZoneName, cores: int, policy: ReplayedPolicy, weight: float) -> None:
        self.name = name
        self.policy = policy
        self.jobs: dict[JobId, _ReplayedJob] = {}
        self.blocks: dict[TeamName, int] = {}
        self.shapes = {team.name: team.guarantee for team in TEAMS if team.guarantee}
        self._weight = weight
        self._capacity = Resources(ACCELERATORS_PER_WORKER, cores, WORKER_MEMORY_GB)
        self._workers = [WorkerName(f"{name}-w{n}") for n in range(WORKERS_PER_ZONE)]
        self._quota = {team.name: team.accelerator_quota for team in TEAMS}

    @property
    def queued(self) -> list[_ReplayedJob]:
        return [job for job in self.jobs.values() if job.state is JobState.QUEUED]

    @property
    def placed(self) -> list[_ReplayedJob]:
        return [job for job in self.jobs.values() if job.placement]

    @property
    def load(self) -> int:
        return sum(job.accelerators for job in self.jobs.values())

    def free(self) -> dict[WorkerName, int]:
        free = dict.fromkeys(self._workers, ACCELERATORS_PER_WORKER)
        for job in self.placed:
            for part in job.placement:
                free[part.worker] -= job.trace.spec.accelerators_per_part
        return free

    def covers(self, job: _ReplayedJob) -> bool:
        """Returns whether the job fits into one unused block of its team's guarantee."""
        team = job.trace.spec.team
        blocks = self.blocks.get(team, 0)
        if not blocks:
            return False
        size = self.shapes[team].accelerators_per_block
        used = sum(
            -(-other.accelerators // size)
            for other in self.jobs.values()
            if other.trace.spec.team == team
        )
        return used < blocks and job.accelerators <= size

    def view(self, now_ms: int) -> ZoneView:
        held = {name: [0, 0, 0] for name in self._workers}
        for job in self.placed:
            spec = job.trace.spec
            for part in job.placement:
                held_resources = held[part.worker]
                held_resources[0] += spec.accelerators_per_part
                held_resources[1] += spec.cores_per_part
                held_resources[2] += spec.memory_gb_per_part
        rack = RackName(f"{self.name}-rack")
        return ZoneView(
            self.name,
            now_ms,
            tuple(
                WorkerView(name, rack, self._capacity, Resources(*held[name]), Resources(0))
                for name in self._workers
            ),
            tuple(job.view(now_ms, self.name) for job in self.queued),
            tuple(job.view(now_ms, self.name) for job in self.placed),
            tuple(
                TeamView(
                    team.name,
                    (
                        Shape(self.blocks[team.name], team.guarantee.accelerators_per_block)
                        if team.guarantee and self.blocks.get(team.name)
                        else None
                    ),
                    self._quota[team.name],
                )
                for team in TEAMS
            ),
            self._weight,
        )


class Replay:
    """Replays one trace over all zones of a site."""

    def __init__(self, site: Site, trace: list[TraceJob], policies: list[ReplayedPolicy]) -> None:
        self.outcome = Outcome()
        self._zones = [
            ZoneReplay(zone, site.cores, policy, site.fragmentation_weight)
            for zone, policy in zip(site.zones, policies, strict=True)
        ]
        blocks_by_team = pack_guarantees(site_racks(site), TEAMS).unwrap()
        for zone in self._zones:
            zone.blocks = {
                team: blocks.get(zone.name, 0) for team, blocks in blocks_by_team.items()
            }
        self._events: list[tuple[int, int, str, JobId, int]] = []
        self._trace = {job.id: job for job in trace}
        self._zone_of: dict[JobId, ZoneReplay] = {}
        self._sequence = 0
        self._now_ms = 0
        for job in trace:
            self._push(job.submitted_ms, "arrive", job.id, 0)
            if job.cancelled_ms is not None:
                self._push(job.cancelled_ms, "cancel", job.id, 0)

    def run(self) -> Outcome:
        """Replays until no event is left."""
        while self._events:
            event_ms = self._events[0][0]
            self._measure_space(event_ms - self._now_ms)
            self._now_ms = event_ms
            changed_zones: dict[ZoneName, ZoneReplay] = {}
            while self._events and self._events[0][0] == event_ms:
                _, _, kind, job_id, attempt = heapq.heappop(self._events)
                zone = self._handle(kind, job_id, attempt)
                if zone is not None:
                    changed_zones[zone.name] = zone
            for zone in changed_zones.values():
                self._decide(zone)
        self.outcome.never_ran = sum(
            1 for zone in self._zones for job in zone.jobs.values() if not job.trace.is_impossible
        )
        return self.outcome

    def _push(self, event_ms: int, kind: str, job: JobId, attempt: int) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (event_ms, self._sequence, kind, job, attempt))

    def _handle(self, kind: str, job_id: JobId, attempt: int) -> ZoneReplay | None:
        if kind == "arrive":
            return self._arrive(job_id)
        zone = self._zone_of.get(job_id)
        job = zone.jobs.get(job_id) if zone else None
        if zone is None or job is None:
            return None
        if kind == "cancel":
            del zone.jobs[job_id]
            return zone
        if job.attempt != attempt:
            return None
        if kind == "finish" and job.state is JobState.RUNNING:
            self._finish(zone, job)
            return zone
        if kind == "released" and job.state is JobState.STOPPING:
            job.placement = ()
            job.state = JobState.QUEUED
            if job.moves_to:
                self._start(job, job.moves_to)
                job.moves_to = ()
            return zone
        return None

    def _arrive(self, job_id: JobId) -> ZoneReplay:
        trace = self._trace[job_id]
        job = _ReplayedJob(trace, trace.run_time_ms)
        covering_zones = [zone for zone in self._zones if zone.covers(job)]
        zone = min(covering_zones or self._zones, key=lambda zone: (zone.load, zone.name))
        job.is_within_guarantee = bool(covering_zones)
        zone.jobs[job_id] = job
        self._zone_of[job_id] = zone
        return zone

    def _finish(self, zone: ZoneReplay, job: _ReplayedJob) -> None:
        del zone.jobs[job.trace.id]
        completion_ms = self._now_ms - job.trace.submitted_ms
        self.outcome.completion_times_ms.append(completion_ms)
        slowdown_base_ms = max(job.trace.run_time_ms, HOUR_MS // 6)
        self.outcome.slowdowns.append(max(1.0, completion_ms / slowdown_base_ms))
        record = JobRecord(job.trace.id, job.trace.spec, JobState.SUCCEEDED, zone.name, 0)
        zone.policy.record_finished(record, job.trace.run_time_ms)

    def _decide(self, zone: ZoneReplay) -> None:
        for decision in zone.policy.decide(zone.view(self._now_ms)):
            job = zone.jobs[decision.job]
            if isinstance(decision, Place):
                self._start(job, decision.placement)
            elif isinstance(decision, Reject):
                self.outcome.refused += 1
                del zone.jobs[decision.job]
            elif isinstance(decision, Preempt):
                self.outcome.preemptions += 1
                self._stop(job, at_once=decision.immediate)
            elif isinstance(decision, Move):
                self.outcome.moves += 1
                job.moves_to = decision.placement
                self._stop(job)

    def _start(self, job: _ReplayedJob, placement: tuple[PartPlacement, ...]) -> None:
        overhead_ms = RESTART_MS if job.attempt else 0
        job.attempt += 1
        job.placement = placement
        job.state = JobState.RUNNING
        job.started_ms = self._now_ms
        job.remaining_ms += overhead_ms
        self._push(self._now_ms + job.remaining_ms, "finish", job.trace.id, job.attempt)
        if job.first_start_ms is not None:
            return
        job.first_start_ms = self._now_ms
        wait_ms = self._now_ms - job.trace.submitted_ms
        if job.accelerators >= LARGE_GANG_ACCELERATORS:
            self.outcome.large_gang_waits_ms.append(wait_ms)
        if job.trace.spec.urgent:
            self.outcome.urgent_waits_ms.append(wait_ms)
        if job.is_within_guarantee:
            self.outcome.reclaim_waits_ms.append(wait_ms)

    def _stop(self, job: _ReplayedJob, *, at_once: bool = False) -> None:
        loss_ms = job.loss_ms(self._now_ms, at_once=at_once)
        stop_ms = STOP_MS if at_once else CHECKPOINT_MS
        job.remaining_ms -= self._now_ms - job.started_ms - loss_ms
        overhead_ms = loss_ms + stop_ms + RESTART_MS
        self.outcome.lost_accelerator_ms += overhead_ms * job.accelerators
        job.state = JobState.STOPPING
        self._push(self._now_ms + stop_ms, "released", job.trace.id, job.attempt)

    def _measure_space(self, elapsed_ms: int) -> None:
        """Adds the fragmentation of each zone where a large gang waits, weighted by time."""
        for zone in self._zones:
            gangs = [job for job in zone.queued if job.accelerators >= LARGE_GANG_ACCELERATORS]
            gangs = [job for job in gangs if not job.trace.is_impossible]
            free = zone.free()
            total_free = sum(free.values())
            if not gangs or not total_free or not elapsed_ms:
                continue
            free_on_idle_workers = [f for f in free.values() if f == ACCELERATORS_PER_WORKER]
            largest_partial = max(
                (f for f in free.values() if f < ACCELERATORS_PER_WORKER), default=0
            )
            self.outcome.block_share_sum += (
                (sum(free_on_idle_workers) + largest_partial) / total_free * elapsed_ms
            )
            self.outcome.block_share_ms += elapsed_ms
            usable = max(
                sum(f - f % job.trace.spec.accelerators_per_part for f in free.values())
                for job in gangs
            )
            self.outcome.unusable_sum += (total_free - usable) / total_free * elapsed_ms
            self.outcome.unusable_ms += elapsed_ms
