"""In-memory zone that carries out the policy's decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.decisions import Decision
from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import PartPlacement
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

if TYPE_CHECKING:
    from jujubehall.core.configuration.document import Shape

ZONE = ZoneName("khomas-a")
MINUTE_MS = 60_000
CAPACITY = Resources(8, 130, 250)


def job_spec(
    team: str,
    parts: int = 1,
    accelerators: int = 1,
    *,
    run_time_ms: int = 60 * MINUTE_MS,
    adjacent: bool = True,
    urgent: bool = False,
) -> JobSpec:
    """Returns a job specification with cores and memory in proportion to its accelerators."""
    return JobSpec(
        TeamName(team),
        "render",
        parts,
        accelerators,
        cores_per_part=4 * accelerators,
        memory_gb_per_part=10 * accelerators,
        run_time_ms=run_time_ms,
        adjacent=adjacent,
        urgent=urgent,
    )


class FakeZone:
    """Racks of four workers with 8 accelerators each, their jobs, and the policy under test."""

    def __init__(
        self,
        racks: int = 2,
        teams: dict[str, Shape | None] | None = None,
        *,
        quota: int | None = None,
        weight: float = 0.5,
    ) -> None:
        self.policy = Policy()
        self.now_ms = 0
        self.submitted = 0
        self.decisions: list[Decision] = []
        self.jobs: dict[JobId, JobView] = {}
        self.moves: dict[JobId, Move] = {}
        self.foreign: dict[WorkerName, int] = {}
        self.unusable: set[WorkerName] = set()
        self.weight = weight
        self.rack_of = {
            WorkerName(f"r{rack}-w{number}"): RackName(f"r{rack}")
            for rack in range(racks)
            for number in range(4)
        }
        self.teams = tuple(
            TeamView(TeamName(name), shape, quota) for name, shape in (teams or {}).items()
        )

    @property
    def workers(self) -> list[WorkerName]:
        return list(self.rack_of)

    def submit(self, spec: JobSpec) -> JobId:
        self.submitted += 1
        job = JobId(f"job-{self.submitted:04}")
        record = JobRecord(job, spec, JobState.QUEUED, ZONE, 0)
        self.jobs[job] = JobView(record, self.now_ms)
        return job

    def add_running(self, spec: JobSpec, *workers: str) -> JobId:
        """Adds a running job with one part on each of the named workers."""
        job = self.submit(spec)
        placement = tuple(PartPlacement(i, WorkerName(name)) for i, name in enumerate(workers))
        self._change(job, JobState.RUNNING, placement)
        return job

    def state(self, job: JobId) -> JobState | None:
        return self.jobs[job].record.state if job in self.jobs else None

    def jobs_in_state(self, *states: JobState) -> list[JobView]:
        return [job for job in self.jobs.values() if job.record.state in states]

    def view(self) -> ZoneView:
        running = self.jobs_in_state(JobState.RUNNING, JobState.STOPPING)
        held = {worker: [0, 0, 0] for worker in self.workers}
        for job in running:
            spec = job.record.spec
            for part in job.record.placement:
                if part.worker not in held:
                    continue
                held[part.worker][0] += spec.accelerators_per_part
                held[part.worker][1] += spec.cores_per_part
                held[part.worker][2] += spec.memory_gb_per_part
        workers = tuple(
            WorkerView(
                worker,
                rack,
                CAPACITY,
                Resources(*held[worker]),
                Resources(self.foreign.get(worker, 0)),
                worker not in self.unusable,
            )
            for worker, rack in self.rack_of.items()
        )
        queued = tuple(self.jobs_in_state(JobState.QUEUED))
        return ZoneView(ZONE, self.now_ms, workers, queued, tuple(running), self.teams, self.weight)

    def decide(self) -> list[Decision]:
        """Runs one round and carries out its decisions; preempted jobs keep their resources."""
        self.decisions = self.policy.decide(self.view())
        for decision in self.decisions:
            if isinstance(decision, Place):
                self._change(decision.job, JobState.RUNNING, decision.placement)
            elif isinstance(decision, Reject):
                del self.jobs[decision.job]
            elif isinstance(decision, Preempt | Move):
                placement = self.jobs[decision.job].record.placement
                self._change(decision.job, JobState.STOPPING, placement)
                if isinstance(decision, Move):
                    self.moves[decision.job] = decision
        return self.decisions

    def finish_stops(self) -> None:
        """Requeues all stopping jobs, which are preempted or moved, and frees their resources."""
        for job in self.jobs_in_state(JobState.STOPPING):
            self._change(job.record.id, JobState.QUEUED, ())

    def decide_and_finish_stops(self) -> None:
        """Runs a round, completes the stops that it started and runs another round."""
        self.decide()
        self.finish_stops()
        self.decide()

    def complete_job(self, job: JobId, run_time_ms: int) -> None:
        self.policy.record_finished(self.jobs.pop(job).record, run_time_ms)

    def _change(self, job: JobId, state: JobState, placement: object) -> None:
        view = self.jobs[job]
        record = msgspec.structs.replace(view.record, state=state, placement=placement)
        started_at_ms = self.now_ms if state is JobState.RUNNING else view.started_at_ms
        self.jobs[job] = msgspec.structs.replace(view, record=record, started_at_ms=started_at_ms)
