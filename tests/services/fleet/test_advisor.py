"""Tests that steps of queues that ask for advice run only on workers that the service allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName
from jujubehall.services.fleet.advisor import Advisor
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("00000000000000e1")
ALLOWED_WORKER = WorkerName("w2")


class FakeAdvice:
    """An advice service that allows one worker and does not answer the first query."""

    def __init__(self) -> None:
        self.queries: list[list[WorkerName]] = []

    async def request_tickets(
        self, job: JobId, occurrence: int, step: int, workers: list[WorkerName]
    ) -> Result[tuple[dict[WorkerName, str], int], Failure]:
        self.queries.append(workers)
        if len(self.queries) == 1:
            return Err(Failure(FailureKind.NO_ANSWER, "ask", "advice"))
        return Ok(({ALLOWED_WORKER: "t"} if ALLOWED_WORKER in workers else {}, 5_000))


def test_job_runs_only_on_allowed_worker(site: VirtualFleet) -> None:
    queues = tuple(
        msgspec.structs.replace(queue, asks_for_advice=True) for queue in CONFIGURATION.queues
    )
    site.configure(msgspec.structs.replace(CONFIGURATION, version=2, queues=queues))
    site.run(1.5)
    assert site.owner is not None
    owner = site.owner.site_host.owner
    assert owner is not None
    advice = FakeAdvice()
    owner._advisor = Advisor(owner, owner._clock, advice)
    site.submit(JOB, JobRequest("spec", (step(tasks=3, expected_ms=800),)))
    site.run(1.6)
    assert [worker.listed.name for worker in site.workers.values() if worker.tasks] == [
        ALLOWED_WORKER
    ]
    site.run(2.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert len(advice.queries) <= 4
