"""Asks the advice service early, one question at a time, most urgent steps first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err

from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_store import SiteAdvice
    from jujubehall.services.fleet.site_owner import SiteOwner

MAX_WORKERS_ASKED = 100
"""The service's limit for one question."""

log = structlog.get_logger()


class Advisor:
    """Keeps the tickets of all steps that may start soon; rounds never wait for it."""

    def __init__(self, owner: SiteOwner, clock: Clock, advice: SiteAdvice | None) -> None:
        self._owner = owner
        self._clock = clock
        self._advice = advice
        self._is_asking = False

    def poke(self) -> None:
        """Asks the next question, if there is one and none is under way."""
        if self._advice is None or self._is_asking or self._owner.is_closed:
            return
        jobs = [
            job
            for job in self._owner.book.jobs.values()
            if not job.is_final and job.queue is not None and job.queue.asks_for_advice
        ]
        for job in sorted(jobs, key=lambda each: (each.priority, each.accepted_ms)):
            for occurrence, step in job.unfinished_steps:
                lives = self._lives(job, step)
                tickets = job.tickets(occurrence, step)
                names = tickets.questions(lives, self._clock.now_ms)[:MAX_WORKERS_ASKED]
                if names:
                    self._is_asking = True
                    asked = {name: lives[name] for name in names}
                    start(self._ask(self._advice, job, (occurrence, step), asked))
                    return

    def _lives(self, job: FleetJob, step: int) -> dict[WorkerName, int]:
        request = job.accepted.request.steps[step]
        pool = job.queue.pool if job.queue is not None else None
        return {
            worker.name: worker.listed.life
            for worker in self._owner.book.workers.values()
            if worker.is_listed
            and worker.listed.pool == pool
            and (not request.required_label or request.required_label in worker.listed.labels)
            and request.needs.fits_in(worker.listed.capacity)
        }

    async def _ask(
        self,
        advice: SiteAdvice,
        job: FleetJob,
        step: tuple[int, int],
        asked: dict[WorkerName, int],
    ) -> None:
        tickets = job.tickets(*step)
        asked_ms = self._clock.now_ms
        tickets.note_question(asked_ms)
        try:
            answered = await advice.ask(job.accepted.id, *step, list(asked))
        finally:
            self._is_asking = False
        if isinstance(answered, Err):
            log.warning("advice not given", job=job.id, failure=str(answered.err_value))
        else:
            good, validity_ms = answered.ok_value
            tickets.note_answer(asked, good, asked_ms + validity_ms)
            log.info("advice given", job=job.id, step=step, asked=len(asked), good=len(good))
        self._owner.poke()
