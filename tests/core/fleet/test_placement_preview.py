"""Tests where a job would be placed, and that asking changes nothing."""

from __future__ import annotations

from typing import Any

from jujubehall.core.fleet.placement_preview import Exclusion
from jujubehall.core.fleet.placement_preview import JobPreview
from jujubehall.core.fleet.placement_preview import Verdict
from jujubehall.core.fleet.placement_preview import preview_job
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import ONE_GPU
from tests.core.fleet.small_site import TEAM
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step


def preview(
    site: SmallSite, *steps: StepRequest, queue: QueueName = NORMAL, **more: Any
) -> JobPreview:
    request = JobRequest("spec", steps, **more)
    accepted = AcceptedJob(JobId("asked"), queue, TEAM, request, site.now_ms)
    return preview_job(site.fleet_state, accepted, site.now_ms)


def test_preview_names_the_workers_that_the_next_round_chooses() -> None:
    site = SmallSite()
    gang = step(2, EIGHT_GPUS, is_gang=True, prefers_one_rack=True, expected_ms=1_000)
    expected = preview(site, gang)
    assert expected.steps[0].verdict is Verdict.STARTS
    site.submit("asked", gang)
    [group] = site.start_groups()
    workers = {placement.worker.name for placement in group.placements.values()}
    assert set(expected.steps[0].tasks_by_worker) == workers
    assert len(expected.steps[0].racks) == 1


def test_preview_changes_nothing() -> None:
    site = SmallSite()
    site.submit("running", step(4, EIGHT_GPUS, expected_ms=5_000))
    site.start_groups()
    site.submit("waiting", step(1, EIGHT_GPUS, expected_ms=1_000))
    before = [worker.free for worker in site.fleet_state.workers.values()]
    answers = [
        preview(site, step(2, EIGHT_GPUS, is_gang=True, expected_ms=5_000), queue=queue)
        for queue in (URGENT, NORMAL)
    ]
    assert answers[0].steps[0].verdict is Verdict.PREEMPTS
    assert answers[0].steps[0].stopped_jobs == (JobId("running"),)
    assert answers[1].steps[0].verdict is Verdict.WAITS_FOR_CAPACITY
    assert answers[1].groups_ahead == 1
    assert JobId("asked") not in site.fleet_state.jobs
    assert [worker.free for worker in site.fleet_state.workers.values()] == before
    assert not site.fleet_state.groups_to_stop


def test_preview_says_why_workers_are_passed_over() -> None:
    site = SmallSite()
    site.worker(0).is_reachable = False
    site.worker(1).is_awaiting_maintenance = True
    site.submit("running", step(1, EIGHT_GPUS, expected_ms=5_000))
    site.start_groups()
    found = preview(site, step(2, EIGHT_GPUS)).steps[0]
    assert found.verdict is Verdict.STARTS
    assert found.passed_over == {
        Exclusion.UNREACHABLE.value: 1,
        Exclusion.AWAITING_MAINTENANCE.value: 1,
        Exclusion.OCCUPIED.value: 1,
    }


def test_steps_that_are_not_ready_wait() -> None:
    site = SmallSite()
    found = preview(site, step(1), step(1, after=(0,)))
    assert [each.verdict for each in found.steps] == [Verdict.STARTS, Verdict.WAITS_FOR_STEPS]
    later = preview(site, step(1), occurrences=2, first_due_unix_ms=site.now_ms + 60_000)
    assert later.steps[0].verdict is Verdict.WAITS_FOR_DUE_TIME
    assert later.standing == "not due"


def test_step_that_no_worker_can_run_is_impossible() -> None:
    site = SmallSite()
    found = preview(site, step(1, ONE_GPU, required_label="other")).steps[0]
    assert found.verdict is Verdict.IMPOSSIBLE
    assert found.passed_over == {Exclusion.MISSING_LABEL.value: 4}
