"""Tests which jobs are refused for load, and when their callers are asked to return."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.fleet.admission_limits import NO_LIMITS
from jujubehall.core.fleet.job_demand import job_demand
from jujubehall.core.fleet.overload import MIN_RETRY_AFTER_MS
from jujubehall.core.fleet.overload import SETTLING_MS
from jujubehall.core.fleet.overload import Overload
from jujubehall.core.fleet.refused_jobs import MAX_REFUSED_JOBS
from jujubehall.core.fleet.refused_jobs import RefusedJobs
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.identifiers import JobId
from jujubehall.identifiers import TeamName
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import ONE_GPU
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import TEAM
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.identifiers import QueueName

NEW_JOB = JobId("new")
OTHER_TEAM = TeamName("other")
TASK_MS = 1_000
"""With this work, a normal job is in time up to 4 s and of use up to 12 s after its submission."""


class LoadedSite:
    """A small site of 32 accelerators with an ``Overload`` of a term that has settled."""

    def __init__(self) -> None:
        self.site = SmallSite()
        self.overload = Overload(self.site.now_ms - SETTLING_MS)

    def submit(self, jobs: int, queue: QueueName = NORMAL, tasks: int = 32) -> None:
        """Submits jobs that each take the whole site for ``TASK_MS``, by default."""
        first = len(self.site.fleet_state.jobs)
        for number in range(first, first + jobs):
            self.site.submit(f"j{number}", step(tasks, expected_ms=TASK_MS), queue=queue)
        self.update()

    def update(self, after_ms: int = 0) -> None:
        self.site.now_ms += after_ms
        self.overload.update(self.site.fleet_state, self.site.now_ms)

    def decide(
        self,
        queue: QueueName = NORMAL,
        request: StepRequest | None = None,
        job: JobId = NEW_JOB,
    ) -> int | None:
        """Asks as an entry host does that knows the limits."""
        settings = CONFIGURATION.queue(queue)
        demand = job_demand(JobRequest("spec", (request or step(32, expected_ms=TASK_MS),)))
        assert settings is not None
        if demand is None or not self.overload.limits.may_refuse(settings, demand):
            return None
        return self.overload.decide(
            self.site.fleet_state, job, settings, TEAM, demand, self.site.now_ms
        )


@pytest.fixture
def loaded() -> LoadedSite:
    return LoadedSite()


def test_nothing_is_limited_while_jobs_can_be_of_use(loaded: LoadedSite) -> None:
    loaded.submit(jobs=11)
    assert loaded.overload.limits == NO_LIMITS
    assert loaded.decide() is None


def test_job_that_starts_too_late_to_be_of_use_is_refused(loaded: LoadedSite) -> None:
    loaded.submit(jobs=16)
    assert loaded.decide() == 5_000


def test_idle_workers_beside_long_runs_limit_nothing(loaded: LoadedSite) -> None:
    loaded.site.submit("long", step(24, expected_ms=1_000 * TASK_MS))
    assert len(loaded.site.start_groups()) == 24
    loaded.submit(jobs=1, tasks=8)
    assert loaded.overload.limits == NO_LIMITS
    assert loaded.decide(request=step(8, expected_ms=TASK_MS)) is None


def test_job_that_fits_beside_what_waits_is_not_refused(loaded: LoadedSite) -> None:
    """Groups that wait for more room than is free don't keep it from a smaller job."""
    loaded.site.submit("long", step(24, expected_ms=1_000 * TASK_MS))
    assert len(loaded.site.start_groups()) == 24
    loaded.site.submit("short", step(1, expected_ms=TASK_MS))
    assert len(loaded.site.start_groups()) == 1
    gang = step(2, EIGHT_GPUS, expected_ms=20 * TASK_MS, is_gang=True)
    loaded.site.submit("gang", gang, queue=URGENT)
    loaded.update()
    assert NORMAL in loaded.overload.limits.waits_ms
    assert loaded.decide(request=step(8, expected_ms=TASK_MS)) is not None
    assert loaded.decide(request=step(7, expected_ms=TASK_MS)) is None


def test_long_runs_leave_their_accelerators_to_nobody(loaded: LoadedSite) -> None:
    loaded.site.submit("long", step(24, expected_ms=1_000 * TASK_MS))
    assert len(loaded.site.start_groups()) == 24
    loaded.submit(jobs=16, tasks=8)
    assert loaded.overload.limits.waits_ms[NORMAL] == 16 * TASK_MS


def test_runs_on_workers_that_accept_no_work_do_not_count(loaded: LoadedSite) -> None:
    loaded.site.submit("long", step(24, expected_ms=1_000 * TASK_MS))
    loaded.site.start_groups()
    free = [worker for worker in loaded.site.fleet_state.workers.values() if not worker.placements]
    for worker in loaded.site.fleet_state.workers.values():
        worker.is_zone_evacuated = worker not in free
    loaded.submit(jobs=8, tasks=8)
    assert loaded.overload.limits == NO_LIMITS
    loaded.submit(jobs=8, tasks=8)
    assert loaded.overload.limits.waits_ms[NORMAL] == 16 * TASK_MS


def test_longer_job_may_start_later(loaded: LoadedSite) -> None:
    loaded.submit(jobs=16)
    assert loaded.decide(request=step(32, expected_ms=5 * TASK_MS)) is None


def test_steps_that_are_not_ready_do_not_count(loaded: LoadedSite) -> None:
    for number in range(14):
        loaded.site.submit(
            f"s{number}",
            step(32, expected_ms=TASK_MS),
            step(32, expected_ms=TASK_MS, after=(0,)),
        )
    loaded.update()
    assert loaded.overload.limits == NO_LIMITS


def test_smaller_job_passes_larger_ones(loaded: LoadedSite) -> None:
    loaded.submit(jobs=16)
    assert loaded.decide(request=step(31, expected_ms=TASK_MS)) is None


def test_work_of_lower_priority_does_not_count(loaded: LoadedSite) -> None:
    loaded.submit(jobs=40, queue=OVERNIGHT)
    assert loaded.decide() is None
    assert loaded.decide(OVERNIGHT) is not None


def test_work_that_can_be_of_no_more_use_does_not_count(loaded: LoadedSite) -> None:
    loaded.submit(jobs=16)
    loaded.update(after_ms=13_000)
    assert loaded.decide() is None


def test_new_job_that_can_be_in_time_passes_late_ones(loaded: LoadedSite) -> None:
    loaded.submit(jobs=16)
    loaded.update(after_ms=4_000)
    assert loaded.decide() is None


@pytest.mark.parametrize(
    "request_step",
    [step(), step(expected_ms=TASK_MS, runs_until_cancelled=True)],
    ids=["no estimate", "runs until cancelled"],
)
def test_job_without_an_expected_end_is_admitted(
    loaded: LoadedSite, request_step: StepRequest
) -> None:
    loaded.submit(jobs=16)
    assert loaded.decide(request=request_step) is None


def test_timed_job_has_no_demand() -> None:
    request = JobRequest("spec", (step(expected_ms=TASK_MS),), occurrences=2, interval_ms=1_000)
    assert job_demand(request) is None


def test_urgent_job_within_the_guarantee_is_never_refused(loaded: LoadedSite) -> None:
    """The team is guaranteed 16 accelerators."""

    for number in range(40):
        loaded.site.submit(
            f"u{number}", step(8, expected_ms=TASK_MS), queue=URGENT, team=OTHER_TEAM
        )
    loaded.update()
    within = step(2, EIGHT_GPUS, expected_ms=TASK_MS)
    assert loaded.decide(URGENT, within) is None
    assert loaded.decide(URGENT, step(3, EIGHT_GPUS, expected_ms=TASK_MS)) is not None
    loaded.site.submit("own", step(1, ONE_GPU, expected_ms=TASK_MS), queue=URGENT)
    loaded.update()
    assert loaded.decide(URGENT, within) is not None


def test_urgent_work_beyond_the_guarantee_does_not_use_it_up(loaded: LoadedSite) -> None:
    for number in range(40):
        loaded.site.submit(
            f"u{number}", step(1, EIGHT_GPUS, expected_ms=TASK_MS), queue=URGENT, team=OTHER_TEAM
        )
        loaded.site.submit(
            f"v{number}", step(3, EIGHT_GPUS, expected_ms=TASK_MS, is_gang=True), queue=URGENT
        )
    loaded.update()
    assert loaded.decide(URGENT, step(2, EIGHT_GPUS, expected_ms=TASK_MS)) is None


def test_job_that_is_accepted_already_is_not_refused(loaded: LoadedSite) -> None:
    loaded.submit(jobs=16)
    assert loaded.decide(job=JobId("j3")) is None


def test_new_owner_refuses_nothing_until_it_knows_the_load(loaded: LoadedSite) -> None:
    loaded.overload = Overload(loaded.site.now_ms)
    loaded.submit(jobs=16)
    assert loaded.decide() is None
    loaded.update(after_ms=SETTLING_MS)
    loaded.submit(jobs=16)
    assert loaded.decide() is not None


def test_nothing_is_refused_without_usable_workers(loaded: LoadedSite) -> None:
    for worker in loaded.site.fleet_state.workers.values():
        worker.is_reachable = False
    loaded.submit(jobs=16)
    assert loaded.decide() is None


def test_limit_is_released_only_well_below_the_wait_that_set_it(loaded: LoadedSite) -> None:
    loaded.submit(jobs=14)
    assert loaded.overload.limits == NO_LIMITS
    loaded.submit(jobs=1)
    limited = []
    for number in range(5):
        limited.append(NORMAL in loaded.overload.limits.waits_ms)
        loaded.site.fleet_state.cancel(JobId(f"j{number}"), loaded.site.now_ms)
        loaded.update()
    assert limited == [True, True, True, True, False]


def test_returning_job_keeps_its_place(loaded: LoadedSite) -> None:
    loaded.submit(jobs=16)
    assert loaded.decide() == 5_000
    for number in range(6):
        loaded.site.fleet_state.cancel(JobId(f"j{number}"), loaded.site.now_ms)
    loaded.update(after_ms=1_000)
    loaded.submit(jobs=20)
    assert loaded.decide(job=JobId("newer")) is not None
    assert loaded.decide() is None


def test_accepted_job_waits_since_its_first_attempt(loaded: LoadedSite) -> None:
    job = loaded.site.submit("late", step(expected_ms=TASK_MS))
    first_ms = loaded.site.now_ms - 3_000
    job.count_waiting_from(first_ms)
    assert job.accepted_ms == first_ms
    assert [group.ready_since_ms for group in job.all_groups()] == [loaded.site.now_ms]


def test_callers_return_in_the_order_in_which_they_were_refused(loaded: LoadedSite) -> None:
    loaded.submit(jobs=40)
    returns_ms = []
    for number in range(4):
        retry_after_ms = loaded.decide(job=JobId(f"r{number}"))
        assert retry_after_ms is not None
        returns_ms.append(loaded.site.now_ms + retry_after_ms)
        loaded.site.now_ms += 1_000
    assert returns_ms == sorted(returns_ms)
    assert len(set(returns_ms)) == 4


def test_each_return_leaves_time_to_be_of_use(loaded: LoadedSite) -> None:
    """The caller comes back while its job could still start, up to four times."""
    loaded.submit(jobs=60)
    start_limit_ms = loaded.site.now_ms + 11_000
    for _ in range(3):
        retry_after_ms = loaded.decide()
        assert retry_after_ms is not None
        assert retry_after_ms >= MIN_RETRY_AFTER_MS
        loaded.site.now_ms += retry_after_ms
        assert loaded.site.now_ms <= start_limit_ms


def test_earliest_refused_jobs_are_forgotten_first() -> None:
    refused = RefusedJobs()
    for number in range(MAX_REFUSED_JOBS + 1):
        refused.record(JobId(str(number)), number)
    assert len(refused) == MAX_REFUSED_JOBS
    assert refused.first_refused_ms(JobId("0")) is None
    assert refused.first_refused_ms(JobId("1")) == 1
