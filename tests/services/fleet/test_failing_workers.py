"""Workers that fail everything must not use up the attempts of jobs."""

from __future__ import annotations

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

WORKERS = 24
FAILING = 3
GANGS = 8


def test_gangs_survive_workers_that_begin_to_fail_everything() -> None:
    """An eighth of the workers fails whatever they start; each job has two attempts.

    The others have just completed work, so that a second attempt can do without unproven workers.
    Found by the incident inc-b0f6 of embalses-andinos-grown.
    """
    site = VirtualFleet(CONFIGURATION, SmallSite(workers=WORKERS, rack_size=8).listed)
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.5)
    for number, worker in enumerate(site.workers.values()):
        worker.fails_all_tasks = number % (WORKERS // FAILING) == 3
    proof = step(tasks=WORKERS, needs=EIGHT_GPUS, expected_ms=600)
    site.submit(JobId("a" * 16), JobRequest("spec", (proof,)), queue="overnight")
    site.run(0.9)
    jobs = [JobId(f"{number:016}") for number in range(GANGS)]
    for job in jobs:
        gang = step(tasks=6, needs=EIGHT_GPUS, is_gang=True, expected_ms=1_000)
        site.submit(job, JobRequest("spec", (gang,)))
        site.run(0.4)
    site.run(20.0)
    states = [site.job_state(job).state for job in jobs]
    assert states == [JobState.SUCCEEDED] * GANGS
