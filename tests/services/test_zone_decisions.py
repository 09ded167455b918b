"""Tests that a zone owner executes each kind of decision, using a scripted policy."""

from __future__ import annotations

import gc

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import add_exception
from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.gang_timing import CHECKPOINT_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import COMMAND_TIMEOUT_MS
from jujubehall.core.jobs.invariants import InvariantViolation
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.policy import Policy
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName
from jujubehall.platform.host import HostState
from jujubehall.testing.randomised.gang_invariants import check_gang_invariants
from jujubehall.testing.worker_state import WorkerState
from jujubehall.workers.messages import Resources
from jujubehall.workers.messages import TaskState
from tests.services.job_site import ZONE
from tests.services.job_site import all_owners
from tests.services.job_site import find_job
from tests.services.job_site import gang_spec
from tests.services.job_site import live_hosts
from tests.services.job_site import make_site
from tests.services.job_site import run_until_state
from tests.services.job_site import running_parts
from tests.services.job_site import submit

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.zone_view import ZoneView
    from jujubehall.errors import Failure
    from jujubehall.testing.virtual.site import VirtualSite


class ScriptedPolicy(Policy):
    """Returns the decisions that a test has scripted, once, and records the views."""

    instances_created = 0
    raises_next = False
    scripted_decisions: list[Decision] = []  # noqa: RUF012
    views: list[ZoneView] = []  # noqa: RUF012

    def __init__(self) -> None:
        super().__init__()
        ScriptedPolicy.instances_created += 1

    def decide(self, view: ZoneView) -> list[Decision]:
        if ScriptedPolicy.raises_next:
            ScriptedPolicy.raises_next = False
            raise InvariantViolation("a scripted violation")
        self.views.append(view)
        decisions = list(self.scripted_decisions)
        self.scripted_decisions.clear()
        return decisions


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> VirtualSite:
    monkeypatch.setattr("jujubehall.daemon.entry_host.make_policy", ScriptedPolicy)
    ScriptedPolicy.scripted_decisions.clear()
    ScriptedPolicy.views.clear()
    return make_site(entry_hosts=1)


def place(site: VirtualSite, job: JobId, *workers: str) -> None:
    placement = tuple(PartPlacement(part, WorkerName(name)) for part, name in enumerate(workers))
    decide(site, Place(job, placement))
    site.run_until(lambda: running_parts(site, job) == len(workers))


def decide(site: VirtualSite, *decisions: Decision) -> None:
    ScriptedPolicy.scripted_decisions.extend(decisions)
    all_owners(site)[0].request_round()


def next_view(site: VirtualSite) -> ZoneView:
    all_owners(site)[0].request_round()
    site.run_for(100)
    return ScriptedPolicy.views[-1]


def test_preempted_job_is_checkpointed_stopped_and_requeued(site: VirtualSite) -> None:
    job = submit(site, gang_spec(parts=2, accelerators=8))
    place(site, job, "worker-0", "worker-1")
    site.run_for(20_000)
    decide(site, Preempt(job, JobId("urgent-1"), "reclaims its guarantee"))
    site.run_until(lambda: running_parts(site, job) == 0, CHECKPOINT_TIMEOUT_MS)
    run_until_state(site, job, JobState.QUEUED)
    record = find_job(site, job)
    assert record.failures == 0
    assert 15_000 <= record.progress_ms <= 21_000
    assert "urgent-1" in record.reason
    place(site, job, "worker-2", "worker-3")
    check_gang_invariants(site)


def test_preemption_for_urgent_job_skips_checkpoint(site: VirtualSite) -> None:
    job = submit(site, gang_spec(parts=1, accelerators=8))
    place(site, job, "worker-0")
    decide(site, Preempt(job, JobId("urgent-1"), "urgent", immediate=True))
    site.run_until(lambda: running_parts(site, job) == 0, 100)
    outcome = next(iter(site.workers["worker-0"].runs_by_task.values())).outcome
    assert outcome is TaskState.STOPPED
    assert find_job(site, job).progress_ms == 0


def test_preemption_time_is_bounded_if_checkpoint_fails(
    site: VirtualSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    job = submit(site, gang_spec(parts=2, accelerators=8))
    place(site, job, "worker-0", "worker-1")
    monkeypatch.setattr(
        WorkerState, "checkpoint", lambda self, _: self._make_refusal("checkpoint", "no")
    )
    decide(site, Preempt(job, JobId("urgent-1"), "reclaims its guarantee"))
    site.run_until(
        lambda: running_parts(site, job) == 0, CHECKPOINT_TIMEOUT_MS + 2 * COMMAND_TIMEOUT_MS
    )
    run_until_state(site, job, JobState.QUEUED)
    assert find_job(site, job).progress_ms == 0


def test_moved_job_runs_on_its_new_worker(site: VirtualSite) -> None:
    job = submit(site, gang_spec(parts=1, accelerators=4))
    place(site, job, "worker-0")
    decide(site, Move(job, (PartPlacement(0, WorkerName("worker-3")),), "frees a worker"))
    site.run_until(lambda: bool(site.workers["worker-3"].runs_by_task))
    site.run_until(lambda: running_parts(site, job) == 1)
    check_gang_invariants(site)


def test_rejected_job_ends_with_reason(site: VirtualSite) -> None:
    job = submit(site, gang_spec(parts=8, accelerators=8))
    decide(site, Reject(job, "no rack has 64 accelerators"))
    run_until_state(site, job, JobState.FAILED)
    assert find_job(site, job).reason == "no rack has 64 accelerators"


def test_stopping_victims_are_visible_and_block_further_preemption(site: VirtualSite) -> None:
    jobs = [submit(site, gang_spec(parts=1, accelerators=8)) for _ in range(2)]
    for number, job in enumerate(jobs):
        place(site, job, f"worker-{number}")
    for worker in site.workers.values():
        worker.command_delay_ms = 500
    decide(site, Preempt(jobs[0], JobId("urgent-1"), "reclaims"))
    site.run_for(100)
    decide(site, Preempt(jobs[1], JobId("urgent-1"), "reclaims"))
    site.run_for(50)
    states = {job.record.id: job.record.state for job in ScriptedPolicy.views[-1].running}
    assert states[jobs[0]] is JobState.STOPPING
    site.run_for(10_000)
    assert running_parts(site, jobs[1]) == 1


def test_view_includes_pending_reservations_and_foreign_use(
    site: VirtualSite,
) -> None:
    site.workers["worker-1"].set_foreign_use(Resources(3))
    site.run_for(10_000)
    job = submit(site, gang_spec(parts=1, accelerators=4))
    site.workers["worker-0"].command_delay_ms = 900
    decide(site, Place(job, (PartPlacement(0, WorkerName("worker-0")),)))
    site.run_for(100)
    workers = {worker.name: worker for worker in next_view(site).workers}
    assert workers[WorkerName("worker-0")].held.accelerators == 4
    assert workers[WorkerName("worker-1")].foreign.accelerators == 3


def test_job_on_leaving_worker_is_checkpointed_and_requeued(site: VirtualSite) -> None:
    job = submit(site, gang_spec(parts=1, accelerators=4))
    place(site, job, "worker-0")
    site.listed_hosts = [
        msgspec.structs.replace(host, state=HostState.LEAVING) if host.name == "worker-0" else host
        for host in site.listed_hosts
    ]
    run_until_state(site, job, JobState.QUEUED)
    assert not next(
        worker for worker in next_view(site).workers if worker.name == "worker-0"
    ).usable
    ended = next(iter(site.workers["worker-0"].runs_by_task.values()))
    assert ended.outcome is TaskState.STOPPED


def test_tasks_without_job_record_are_stopped(site: VirtualSite) -> None:
    job = submit(site, gang_spec(parts=1, accelerators=4))
    place(site, job, "worker-0")
    entry = site.store.get(f"state/jobs/{job}").unwrap()
    site.store.delete(entry.key, entry.version)
    site.run_until(lambda: running_parts(site, job) == 0, 10_000)


def test_zone_continues_after_failed_scheduling_round(
    site: VirtualSite, background_errors: list[str]
) -> None:
    job = submit(site, gang_spec(parts=1, accelerators=8))
    before = ScriptedPolicy.instances_created
    ScriptedPolicy.raises_next = True
    decide(site, Place(job, (PartPlacement(0, WorkerName("worker-0")),)))
    site.run_until(lambda: running_parts(site, job) == 1)
    assert ScriptedPolicy.instances_created == before + 1
    gc.collect()
    tracebacks = [error for error in background_errors if "Traceback" in error]
    assert len(tracebacks) == 1
    assert "a scripted violation" in tracebacks[0]
    background_errors.clear()


def test_zone_exception_overrides_fragmentation_weight(site: VirtualSite) -> None:
    configuration = live_hosts(site)[0].entry_host.configuration
    author = ChangeAuthor("amaka", "long plans", "token", 0)

    def add_zone_exception(current: Configuration) -> Result[Configuration, Failure]:
        return add_exception(
            current, author, f"zone/{ZONE}", "fragmentation_weight", 0.9, author.reason
        )

    assert next_view(site).fragmentation_weight == 0.5
    assert site.run_coroutine(configuration.change(0, add_zone_exception)).is_ok()
    assert next_view(site).fragmentation_weight == 0.9
