"""Answers callers at any entry host: submit, show, cancel, count what waits."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import structlog

from result import Err

from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.fleet.requests import find_request_fault
from jujubehall.entry_hosts.messages import StoreWriteSettled
from jujubehall.identifiers import TeamName
from jujubehall.metrics import SUBMISSIONS
from jujubehall.services.fleet.records import cancellation_key
from jujubehall.services.fleet.records import job_key
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.core.fleet.requests import JobRequest
    from jujubehall.core.jobs.job import JobState
    from jujubehall.identifiers import JobId
    from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
    from jujubehall.services.fleet.job_records import JobRecords
    from jujubehall.services.fleet.latencies import Latencies
    from jujubehall.services.fleet.peers import Peers

ANSWER_MARGIN_MS = 80
"""Kept from a caller's deadline for the way back."""

ATTEMPT_TIMEOUT_MS = 600
"""A store that is slow by a factor of 60 answers in 250 ms."""

MIN_ATTEMPT_MS = 20
RETRY_INTERVAL_MS = 100
ATTEMPTS_BEFORE_REFUSAL = 4
"""Attempts that surely had no effect, here and elsewhere, before a call is refused."""

DEFAULT_TIMEOUT_MS = 3_000
RETRY_AFTER_MS = 1_000
"""The store's and the owner's troubles last seconds; the balancer may find another entry host."""

log = structlog.get_logger()


class Outcome(Enum):
    """What becomes of a call."""

    ACCEPTED = "accepted"
    SHOWN = "shown"
    NO_SUCH_QUEUE = "no-such-queue"
    NO_SUCH_JOB = "no-such-job"
    UNKNOWN_KEY = "unknown-key"
    MALFORMED = "malformed"
    NOT_RUN = "not-run"
    """Refused for now: what was asked for has not happened and never will by this call."""

    UNKNOWN = "unknown"
    """No answer could be had in time: what was asked for may have happened."""


class Answer(NamedTuple):
    """The answer to a call."""

    outcome: Outcome
    detail: str = ""
    state: JobState | None = None
    pending: int | None = None
    retry_after_ms: int = 0


class CallerCall(NamedTuple):
    """Where a call goes and who makes it; ``timeout_ms`` is how long the caller waits."""

    host: str
    path: str
    key: str
    timeout_ms: int | None


class Admitted(NamedTuple):
    """A call that the configuration allows."""

    queue: Queue
    team: TeamName
    rest: str
    """The path behind the queue's prefix."""

    timeout_ms: int


class Admission:
    """Checks calls against the configuration and serves them from the store and the owner."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        wall_clock: Clock,
        configuration: ConfigurationFollower,
        records: JobRecords,
        peers: Peers,
        submissions: Latencies,
        longest_age_ms: int | None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._wall_clock = wall_clock
        self._configuration = configuration
        self._records = records
        self._peers = peers
        self._submissions = submissions
        self._longest_age_ms = longest_age_ms

    @property
    def is_ready(self) -> bool:
        """Whether calls can be checked now."""
        return self._usable_configuration() is not None

    def check(self, call: CallerCall) -> Admitted | Answer:
        """Finds the queue of a call and the team of its key."""
        configuration = self._usable_configuration()
        if configuration is None:
            age_ms = self._configuration.age_ms
            log.info(
                "call refused",
                job=_last_segment(call.path),
                reason="the configuration may be out of date",
                version=self._configuration.version,
                configuration_age_ms=age_ms,
            )
            return Answer(
                Outcome.NOT_RUN, "no current configuration", retry_after_ms=RETRY_AFTER_MS
            )
        queue = configuration.find_queue(call.host, call.path)
        if queue is None:
            return Answer(Outcome.NO_SUCH_QUEUE, "no such queue")
        team = configuration.find_team(call.key) if call.key else None
        if team is None and not queue.is_public:
            log.info(
                "call refused",
                job=_last_segment(call.path),
                reason="the key is not known",
                queue=queue.name,
                version=configuration.version,
                configuration_age_ms=self._configuration.age_ms,
            )
            return Answer(Outcome.UNKNOWN_KEY, "the key is not known")
        timeout_ms = min(
            call.timeout_ms or DEFAULT_TIMEOUT_MS, queue.answer_timeout_ms or DEFAULT_TIMEOUT_MS
        )
        return Admitted(
            queue,
            team.name if team is not None else TeamName(""),
            call.path[len(queue.path_prefix) :],
            max(0, timeout_ms - ANSWER_MARGIN_MS),
        )

    async def submit(self, admitted: Admitted, job: JobId, request: JobRequest) -> Answer:
        """Accepts a job by creating its record."""
        fault = find_request_fault(request)
        if fault is not None:
            return Answer(Outcome.MALFORMED, fault)
        began_ms = self._clock.now_ms
        accepted = AcceptedJob(
            job,
            admitted.queue.name,
            admitted.team,
            request,
            self._wall_clock.now_ms,
            admitted.queue,
        )
        settled = await self._write(
            job_key(job), msgspec.json.encode(accepted), admitted.timeout_ms
        )
        took_ms = self._clock.now_ms - began_ms
        self._submissions.observe(took_ms)
        answer = _to_answer(settled)
        SUBMISSIONS.inc({"outcome": answer.outcome.value})
        log.info(
            "job submitted",
            job=job,
            queue=admitted.queue.name,
            team=admitted.team,
            version=self._configuration.version,
            outcome=answer.outcome.value,
            took_ms=took_ms,
        )
        return answer

    async def show(self, admitted: Admitted, job: JobId) -> Answer:
        """Shows a job's state, from the owner or else from the store."""
        known = await self._peers.job_state(job)
        if known is not None and known.state is not None:
            return Answer(Outcome.SHOWN, state=known.state)
        found = await self._records.state(job)
        if isinstance(found, Err):
            log.info("state not known", job=job, failure=str(found.err_value))
            return Answer(Outcome.NOT_RUN, "state not known", retry_after_ms=RETRY_AFTER_MS)
        if found.ok_value is None:
            return Answer(Outcome.NO_SUCH_JOB, "no such job")
        return Answer(Outcome.SHOWN, state=found.ok_value[1])

    async def cancel(self, admitted: Admitted, job: JobId) -> Answer:
        """Cancels a job by creating the record of its cancellation."""
        began_ms = self._clock.now_ms
        known = await self._peers.job_state(job)
        if known is None or known.state is None:
            found = await self._records.find(job)
            if isinstance(found, Err):
                return Answer(Outcome.NOT_RUN, str(found.err_value), retry_after_ms=RETRY_AFTER_MS)
            if found.ok_value is None:
                return Answer(Outcome.NO_SUCH_JOB, "no such job")
        left_ms = admitted.timeout_ms - (self._clock.now_ms - began_ms)
        settled = await self._write(cancellation_key(job), b"{}", left_ms)
        answer = _to_answer(settled)
        log.info("cancellation", job=job, outcome=answer.outcome.value)
        return answer

    async def pending(self, admitted: Admitted) -> Answer:
        """Counts the jobs of a queue that have had no task started."""
        count = await self._peers.pending(admitted.queue.name)
        if count is None:
            return Answer(
                Outcome.NOT_RUN, "the owner of the site is not known", retry_after_ms=RETRY_AFTER_MS
            )
        return Answer(Outcome.SHOWN, pending=count)

    async def _write(self, key: str, value: bytes, timeout_ms: int) -> StoreWriteSettled:
        """Creates a record and tells the owner of it."""
        settled = await self._create(key, value, timeout_ms)
        if settled.is_new:
            self._peers.tell_owner(key, value)
        return settled

    async def _create(self, key: str, value: bytes, timeout_ms: int) -> StoreWriteSettled:
        """Creates a record, from here and through other entry hosts in turn.

        While the store has just failed to answer here, the others are asked first.
        """
        give_up_ms = self._clock.now_ms + timeout_ms
        may_take_effect = False
        is_relayed = not self._records.is_store_sound
        attempts = 0
        while (left_ms := give_up_ms - self._clock.now_ms) >= MIN_ATTEMPT_MS:
            attempt_ms = min(left_ms, ATTEMPT_TIMEOUT_MS)
            settled = await (
                self._peers.write_through_other(key, value, attempts // 2, attempt_ms)
                if is_relayed
                else self._records.create(key, value, attempt_ms)
            )
            if settled is not None:
                if settled.is_kept:
                    return settled
                may_take_effect = may_take_effect or settled.may_take_effect
            attempts += 1
            is_relayed = not is_relayed
            if not may_take_effect and attempts >= ATTEMPTS_BEFORE_REFUSAL:
                break
            if attempts % 2 == 0:
                await sleep(self._reactor, RETRY_INTERVAL_MS)
        return StoreWriteSettled(False, may_take_effect)

    def _usable_configuration(self) -> SiteConfiguration | None:
        age_ms = self._configuration.age_ms
        if age_ms is None:
            return None
        if self._longest_age_ms is not None and age_ms > self._longest_age_ms:
            return None
        return self._configuration.current


def _last_segment(path: str) -> str:
    return path.rpartition("/")[2]


def _to_answer(settled: StoreWriteSettled) -> Answer:
    if settled.is_kept:
        return Answer(Outcome.ACCEPTED)
    if settled.may_take_effect:
        return Answer(Outcome.UNKNOWN, "the store has not answered")
    return Answer(Outcome.NOT_RUN, "the store can't be reached", retry_after_ms=RETRY_AFTER_MS)
