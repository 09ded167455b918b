"""Tests how the owner sends many commands to the workers at once."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jujubehall.core.fleet.requests import StepRequest

JOB = JobId("0000000000000001")
OTHER_JOB = JobId("0000000000000002")
WORKERS = 25
TASKS = 200
COMMANDS_PER_S = 125.0
"""Starts of 5 kB on a link of 5 Mbit/s."""


SLOW_HOST_COMMANDS_PER_S = 20.0
"""An eighth of a core at 1 ms for sending a command and 1 ms for its response, beside other work."""


def make_site() -> VirtualFleet:
    site = VirtualFleet(CONFIGURATION, SmallSite(workers=WORKERS).listed)
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.0)
    return site


def test_burst_of_starts_on_a_slow_link_does_not_time_out() -> None:
    site = make_site()
    for host in site.hosts:
        host.workers.commands_per_s = COMMANDS_PER_S
    site.submit(JOB, JobRequest("spec", (step(tasks=TASKS, expected_ms=4_000),)))
    site.run(TASKS / COMMANDS_PER_S + 6.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert set(site.run_recorder.start_counts.values()) == {1}


def test_gang_goes_on_if_only_the_answers_to_its_starts_were_lost() -> None:
    site = make_site()
    for host in site.hosts:
        host.workers.steps_without_answer = {"start"}
    site.submit(JOB, JobRequest("spec", (step(tasks=4, expected_ms=4_000, is_gang=True),)))
    site.run(6.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert set(site.run_recorder.start_counts.values()) == {1}


def test_burst_of_starts_on_a_slow_host_does_not_time_out() -> None:
    site = make_site()
    for host in site.hosts:
        host.workers.commands_per_s = SLOW_HOST_COMMANDS_PER_S
    site.submit(JOB, JobRequest("spec", (step(tasks=TASKS, expected_ms=4_000),)))
    site.run(TASKS / SLOW_HOST_COMMANDS_PER_S + 6.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert set(site.run_recorder.start_counts.values()) == {1}


def test_cancelled_job_is_stopped_before_others_are_started_on_a_slow_host() -> None:
    """Stops must not wait behind the starts of a burst: 100 starts take 5 s here."""
    site = make_site()
    site.submit(JOB, JobRequest("spec", (step(tasks=8, expected_ms=60_000),)))
    site.run(1.0)
    for host in site.hosts:
        host.workers.commands_per_s = SLOW_HOST_COMMANDS_PER_S
    site.submit(OTHER_JOB, JobRequest("spec", (step(tasks=100, expected_ms=60_000),)))
    site.run(0.3)
    site.cancel(JOB)
    assert site.run_until(lambda: not any(is_running(site, JOB)), 2.0)


def is_running(site: VirtualFleet, job: JobId) -> Iterator[bool]:
    return (bool(holders) for task, holders in site.run_recorder.running.items() if task.job == job)


def test_starts_wait_little_for_workers_that_do_not_respond() -> None:
    site = make_site()
    silent_workers = {worker.name for worker in SmallSite(workers=WORKERS).listed[:20]}
    for host in site.hosts:
        host.workers.unreachable_workers |= silent_workers
    site.submit(JOB, JobRequest("spec", (step(tasks=TASKS, expected_ms=500),)))
    reachable = [
        worker for worker in site.workers.values() if worker.listed.name not in silent_workers
    ]
    assert site.run_until(lambda: all(len(worker.tasks) == 8 for worker in reachable), 1.5)


@pytest.mark.parametrize(
    ("step_name", "work"),
    [
        ("start", step(tasks=4, expected_ms=4_000, is_gang=True)),
        ("stop", step(tasks=4, expected_ms=60_000)),
    ],
)
def test_command_that_fails_unexpectedly_leaves_no_run_to_itself(
    monkeypatch: pytest.MonkeyPatch, step_name: str, work: StepRequest
) -> None:
    site = make_site()
    owner = site.owner
    assert owner is not None
    send = getattr(owner.workers, step_name)
    failures: list[Any] = []

    async def fail_once(*arguments: Any) -> Any:
        if not failures:
            failures.append(arguments)
            raise RuntimeError("injected")
        return await send(*arguments)

    monkeypatch.setattr(owner.workers, step_name, fail_once)
    site.submit(JOB, JobRequest("spec", (work,)))
    site.run(1.0)
    if step_name == "stop":
        site.cancel(JOB)
    site.run(10.0)
    assert failures
    assert not any(is_running(site, JOB))
    assert owner.site_host.owner is not None
    assert all(worker.is_idle for worker in owner.site_host.owner.fleet_state.workers.values())
    assert site.run_recorder.lone_ends == []
    assert site.run_recorder.violations == []


def test_decided_starts_are_not_sent_to_workers_that_drain_or_lose_their_label() -> None:
    """Guards against starts that wait for others while their worker becomes unsuitable."""
    site = make_site()
    for host in site.hosts:
        host.workers.commands_per_s = SLOW_HOST_COMMANDS_PER_S
    labelled = step(tasks=TASKS, expected_ms=60_000, required_label="a")
    site.submit(JOB, JobRequest("spec", (labelled,)))
    site.run(1.0)
    workers = list(site.workers.values())
    assert sum(len(each.tasks) for each in workers) < TASKS // 2
    unsuitable = [each for each in workers[::2] if len(each.tasks) < 8]
    for number, worker in enumerate(unsuitable):
        if number % 2:
            worker.change_listing(is_draining=True)
        else:
            worker.change_listing(labels=frozenset())
    # The list of workers is read again within 700 ms.
    site.run(1.0)
    before = [len(each.tasks) for each in unsuitable]
    site.run(TASKS / SLOW_HOST_COMMANDS_PER_S)
    assert unsuitable
    assert [len(each.tasks) for each in unsuitable] == before
