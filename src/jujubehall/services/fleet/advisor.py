"""Queries the advice service ahead of time for the steps that may start soon.

There is one query at a time; the steps of the most urgent jobs come first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err

from jujubehall.services.async_utils import run_in_background

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_store import SiteAdvice
    from jujubehall.services.fleet.site_owner import SiteOwner

MAX_WORKERS_PER_QUERY = 100
"""The advice service's limit on the number of workers in one query."""

log = structlog.get_logger()


class Advisor:
    """Maintains the tickets of all steps that may start soon.

    Scheduling rounds use the tickets at hand and never wait for a query.
    """

    def __init__(self, owner: SiteOwner, clock: Clock, advice: SiteAdvice | None) -> None:
        self._owner = owner
        self._clock = clock
        self._advice = advice
        self._is_querying = False

    def query_next(self) -> None:
        """Sends the next query, if one is due and none is in progress."""
        if self._advice is None or self._is_querying or self._owner.is_closed:
            return
        jobs = [
            job
            for job in self._owner.fleet_state.jobs.values()
            if not job.is_final and job.queue is not None and job.queue.asks_for_advice
        ]
        for job in sorted(jobs, key=lambda each: (each.priority, each.accepted_ms)):
            for occurrence, step in job.unfinished_steps:
                incarnations = self._candidate_incarnations(job, step)
                tickets = job.tickets(occurrence, step)
                worker_names = tickets.workers_to_query(incarnations, self._clock.now_ms)[
                    :MAX_WORKERS_PER_QUERY
                ]
                if worker_names:
                    self._is_querying = True
                    queried = {name: incarnations[name] for name in worker_names}
                    run_in_background(self._query(self._advice, job, (occurrence, step), queried))
                    return

    def _candidate_incarnations(self, job: FleetJob, step: int) -> dict[WorkerName, int]:
        request = job.accepted.request.steps[step]
        pool = job.queue.pool if job.queue is not None else None
        return {
            worker.name: worker.incarnation
            for worker in self._owner.fleet_state.workers.values()
            if worker.is_listed
            and worker.listed.pool == pool
            and (not request.required_label or request.required_label in worker.listed.labels)
            and request.needs.fits_in(worker.listed.capacity)
        }

    async def _query(
        self,
        advice: SiteAdvice,
        job: FleetJob,
        occurrence_and_step: tuple[int, int],
        queried: dict[WorkerName, int],
    ) -> None:
        tickets = job.tickets(*occurrence_and_step)
        sent_ms = self._clock.now_ms
        tickets.record_query(sent_ms)
        try:
            result = await advice.request_tickets(
                job.accepted.id, *occurrence_and_step, list(queried)
            )
        finally:
            self._is_querying = False
        if isinstance(result, Err):
            log.warning("advice query failed", job=job.id, failure=str(result.err_value))
        else:
            allowed, validity_ms = result.ok_value
            tickets.record_response(queried, allowed, sent_ms + validity_ms)
            log.info(
                "advice received",
                job=job.id,
                step=occurrence_and_step,
                asked=len(queried),
                good=len(allowed),
            )
        self._owner.schedule_round()
