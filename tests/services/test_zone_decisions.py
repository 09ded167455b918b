"""How the owner of a zone carries out each kind of decision, under a scripted policy."""

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
from jujubehall.core.jobs.decisions import Refuse
from jujubehall.core.jobs.gang_timing import CHECKPOINT_LIMIT_MS
from jujubehall.core.jobs.gang_timing import COMMAND_TIMEOUT_MS
from jujubehall.core.jobs.invariants import InvariantViolation
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.policy import Policy
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName
from jujubehall.platform.host import HostState
from jujubehall.testing.randomised.gang_invariants import check_workers
from jujubehall.testing.worker_state import WorkerState
from jujubehall.workers.messages import Resources
from jujubehall.workers.messages import TaskState
from tests.services.job_site import ZONE
from tests.services.job_site import all_owners
from tests.services.job_site import job_of
from tests.services.job_site import live_hosts
from tests.services.job_site import make_site
from tests.services.job_site import run_until_state
from tests.services.job_site import running_parts
from tests.services.job_site import spec
from tests.services.job_site import submit

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.zone_view import ZoneView
    from jujubehall.errors import Failure
    from jujubehall.testing.virtual.site import VirtualSite


class ScriptedPolicy(Policy):
    """Decides what a test has put down, once, and keeps the last view."""

    made = 0
    breaks = False
    script: list[Decision] = []  # noqa: RUF012
    views: list[ZoneView] = []  # noqa: RUF012

    def __init__(self) -> None:
        super().__init__()
        ScriptedPolicy.made += 1

    def decide(self, view: ZoneView) -> list[Decision]:
        if ScriptedPolicy.breaks:
            ScriptedPolicy.breaks = False
            raise InvariantViolation("a scripted violation")
        self.views.append(view)
        decisions = list(self.script)
        self.script.clear()
        return decisions


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> VirtualSite:
    monkeypatch.setattr("jujubehall.daemon.entry_host.make_policy", ScriptedPolicy)
    ScriptedPolicy.script.clear()
    ScriptedPolicy.views.clear()
    return make_site(entry_hosts=1)


def place(site: VirtualSite, job: JobId, *workers: str) -> None:
    placement = tuple(PartPlacement(n, WorkerName(name)) for n, name in enumerate(workers))
    decide(site, Place(job, placement))
    site.run_until(lambda: running_parts(site, job) == len(workers))


def decide(site: VirtualSite, *decisions: Decision) -> None:
    ScriptedPolicy.script.extend(decisions)
    all_owners(site)[0].wake()


def view(site: VirtualSite) -> ZoneView:
    all_owners(site)[0].wake()
    site.run_for(100)
    return ScriptedPolicy.views[-1]


def test_a_preempted_job_is_saved_stopped_and_queued_again(site: VirtualSite) -> None:
    job = submit(site, spec(parts=2, accelerators=8))
    place(site, job, "worker-0", "worker-1")
    site.run_for(20_000)
    decide(site, Preempt(job, JobId("urgent-1"), "reclaims its guarantee"))
    site.run_until(lambda: running_parts(site, job) == 0, CHECKPOINT_LIMIT_MS)
    run_until_state(site, job, JobState.QUEUED)
    record = job_of(site, job)
    assert record.failures == 0
    assert 15_000 <= record.progress_ms <= 21_000
    assert "urgent-1" in record.reason
    place(site, job, "worker-2", "worker-3")
    check_workers(site)


def test_an_urgent_job_waits_for_no_checkpoint(site: VirtualSite) -> None:
    job = submit(site, spec(parts=1, accelerators=8))
    place(site, job, "worker-0")
    decide(site, Preempt(job, JobId("urgent-1"), "urgent", at_once=True))
    site.run_until(lambda: running_parts(site, job) == 0, 100)
    outcome = next(iter(site.workers["worker-0"].spans.values())).outcome
    assert outcome is TaskState.STOPPED
    assert job_of(site, job).progress_ms == 0


def test_a_reclaim_is_bounded_if_a_checkpoint_is_not_answered(
    site: VirtualSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    job = submit(site, spec(parts=2, accelerators=8))
    place(site, job, "worker-0", "worker-1")
    monkeypatch.setattr(WorkerState, "checkpoint", lambda self, _: self._refuse("checkpoint", "no"))
    decide(site, Preempt(job, JobId("urgent-1"), "reclaims its guarantee"))
    site.run_until(
        lambda: running_parts(site, job) == 0, CHECKPOINT_LIMIT_MS + 2 * COMMAND_TIMEOUT_MS
    )
    run_until_state(site, job, JobState.QUEUED)
    assert job_of(site, job).progress_ms == 0


def test_a_moved_job_runs_at_its_new_place(site: VirtualSite) -> None:
    job = submit(site, spec(parts=1, accelerators=4))
    place(site, job, "worker-0")
    decide(site, Move(job, (PartPlacement(0, WorkerName("worker-3")),), "frees a worker"))
    site.run_until(lambda: bool(site.workers["worker-3"].spans))
    site.run_until(lambda: running_parts(site, job) == 1)
    check_workers(site)


def test_a_refused_job_ends_with_the_reason(site: VirtualSite) -> None:
    job = submit(site, spec(parts=8, accelerators=8))
    decide(site, Refuse(job, "no rack has 64 accelerators"))
    run_until_state(site, job, JobState.FAILED)
    assert job_of(site, job).reason == "no rack has 64 accelerators"


def test_victims_that_are_stopping_are_shown_and_not_chosen_twice(site: VirtualSite) -> None:
    jobs = [submit(site, spec(parts=1, accelerators=8)) for _ in range(2)]
    for number, job in enumerate(jobs):
        place(site, job, f"worker-{number}")
    for worker in site.workers.values():
        worker.answer_delay_ms = 500
    decide(site, Preempt(jobs[0], JobId("urgent-1"), "reclaims"))
    site.run_for(100)
    decide(site, Preempt(jobs[1], JobId("urgent-1"), "reclaims"))
    site.run_for(50)
    states = {job.record.id: job.record.state for job in ScriptedPolicy.views[-1].running}
    assert states[jobs[0]] is JobState.STOPPING
    site.run_for(10_000)
    assert running_parts(site, jobs[1]) == 1


def test_the_view_counts_what_is_on_its_way_and_what_the_older_scheduler_has(
    site: VirtualSite,
) -> None:
    site.workers["worker-1"].set_foreign(Resources(3))
    site.run_for(10_000)
    job = submit(site, spec(parts=1, accelerators=4))
    site.workers["worker-0"].answer_delay_ms = 900
    decide(site, Place(job, (PartPlacement(0, WorkerName("worker-0")),)))
    site.run_for(100)
    workers = {worker.name: worker for worker in view(site).workers}
    assert workers[WorkerName("worker-0")].held.accelerators == 4
    assert workers[WorkerName("worker-1")].foreign.accelerators == 3


def test_a_job_on_a_leaving_worker_is_saved_and_queued(site: VirtualSite) -> None:
    job = submit(site, spec(parts=1, accelerators=4))
    place(site, job, "worker-0")
    site.listed = [
        msgspec.structs.replace(host, state=HostState.LEAVING) if host.name == "worker-0" else host
        for host in site.listed
    ]
    run_until_state(site, job, JobState.QUEUED)
    assert not next(w for w in view(site).workers if w.name == "worker-0").usable
    ended = next(iter(site.workers["worker-0"].spans.values()))
    assert ended.outcome is TaskState.STOPPED


def test_tasks_that_no_record_explains_are_stopped(site: VirtualSite) -> None:
    job = submit(site, spec(parts=1, accelerators=4))
    place(site, job, "worker-0")
    entry = site.store.get(f"state/jobs/{job}").unwrap()
    site.store.delete(entry.key, entry.version)
    site.run_until(lambda: running_parts(site, job) == 0, 10_000)


def test_a_broken_round_is_dropped_and_the_zone_goes_on(
    site: VirtualSite, background_errors: list[str]
) -> None:
    job = submit(site, spec(parts=1, accelerators=8))
    before = ScriptedPolicy.made
    ScriptedPolicy.breaks = True
    decide(site, Place(job, (PartPlacement(0, WorkerName("worker-0")),)))
    site.run_until(lambda: running_parts(site, job) == 1)
    assert ScriptedPolicy.made == before + 1
    gc.collect()
    tracebacks = [error for error in background_errors if "Traceback" in error]
    assert len(tracebacks) == 1
    assert "a scripted violation" in tracebacks[0]
    background_errors.clear()


def test_the_weight_of_a_zone_may_be_an_exception(site: VirtualSite) -> None:
    configuration = live_hosts(site)[0].host.configuration
    author = ChangeAuthor("amaka", "long plans", "token", 0)

    def except_zone(current: Configuration) -> Result[Configuration, Failure]:
        return add_exception(
            current, author, f"zone/{ZONE}", "fragmentation_weight", 0.9, author.reason
        )

    assert view(site).fragmentation_weight == 0.5
    assert site.finish(configuration.change(0, except_zone)).is_ok()
    assert view(site).fragmentation_weight == 0.9
