"""Handles the callers' requests on any entry host.

Callers submit, show and cancel jobs, and count the pending jobs of a queue.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import structlog

from result import Err
from result import Ok

from jujubehall.core.fleet.job_demand import job_demand
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.fleet.requests import find_request_error
from jujubehall.entry_hosts.messages import StoreWriteSettled
from jujubehall.identifiers import TeamName
from jujubehall.metrics import JOBS_REFUSED
from jujubehall.metrics import SUBMISSIONS
from jujubehall.services.async_utils import first_result
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.peers import MAX_JOB_END_WAIT_MS
from jujubehall.services.fleet.records import cancellation_key
from jujubehall.services.fleet.records import job_key

if TYPE_CHECKING:
    from result import Result

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.core.fleet.job_demand import JobDemand
    from jujubehall.core.fleet.placement_preview import JobPreview
    from jujubehall.core.fleet.requests import JobRequest
    from jujubehall.core.jobs.job import JobState
    from jujubehall.identifiers import JobId
    from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
    from jujubehall.services.fleet.job_records import JobRecords
    from jujubehall.services.fleet.latencies import LatencyHistogram
    from jujubehall.services.fleet.peers import Peers

RESPONSE_MARGIN_MS = 80
"""Reserved from the caller's timeout for sending the response back."""

WRITE_ATTEMPT_TIMEOUT_MS = 600
"""Leaves room for a store that is 60 times slower than usual, which answers in 250 ms."""

MIN_WRITE_ATTEMPT_MS = 20
WRITE_RETRY_INTERVAL_MS = 100
MAX_ATTEMPTS_WITHOUT_EFFECT = 4
"""Number of write attempts known to have had no effect, from this entry host and through others
together, after which a call is refused."""

DEFAULT_CALL_TIMEOUT_MS = 3_000
RETRY_AFTER_MS = 1_000
"""Sent to callers as Retry-After. Outages of the store or of the owner last seconds, and the load
balancer may route the retry to another entry host."""

MIN_REFUSAL_TIMEOUT_MS = 1_500
"""Callers that wait less long are not refused for load: asking takes time that the write needs."""

MAX_LOGGED_SEGMENT_LENGTH = 64
REFUSAL_TIMEOUT_DIVISOR = 3
"""Part of the caller's timeout in which a refusal must be settled; else the job is admitted."""

log = structlog.get_logger()


class Outcome(Enum):
    """The result of a call."""

    ACCEPTED = "accepted"
    SHOWN = "shown"
    NO_SUCH_QUEUE = "no-such-queue"
    NO_SUCH_JOB = "no-such-job"
    UNKNOWN_KEY = "unknown-key"
    MALFORMED = "malformed"
    NOT_RUN = "not-run"
    """Refused for now: this call has had no effect and will have none later."""

    UNKNOWN = "unknown"
    """The deadline passed without an answer from the store: the call may or may not have taken
    effect."""


class CallResponse(NamedTuple):
    """The response to a call."""

    outcome: Outcome
    detail: str = ""
    state: JobState | None = None
    pending: int | None = None
    retry_after_ms: int = 0


class IncomingCall(NamedTuple):
    """The target and the API key of a call.

    ``timeout_ms`` is how long the caller waits, or None if the call does not say.
    """

    host: str
    path: str
    key: str
    timeout_ms: int | None


class AdmittedCall(NamedTuple):
    """A call that has passed the checks against the configuration."""

    queue: Queue
    team: TeamName
    subpath: str
    """The part of the path after the queue's prefix."""

    timeout_ms: int


class Admission:
    """Authorizes calls against the configuration and serves them from the store and the owner.

    If ``max_configuration_age_ms`` is given, calls are refused while the configuration has not been
    confirmed to be current for longer than that.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        wall_clock: Clock,
        configuration: ConfigurationFollower,
        records: JobRecords,
        peers: Peers,
        submission_latencies: LatencyHistogram,
        max_configuration_age_ms: int | None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._wall_clock = wall_clock
        self._configuration = configuration
        self._records = records
        self._peers = peers
        self._submission_latencies = submission_latencies
        self._max_configuration_age_ms = max_configuration_age_ms

    @property
    def is_ready(self) -> bool:
        """Whether there is a configuration recent enough to check calls against."""
        return self._usable_configuration() is not None

    def check(self, call: IncomingCall) -> AdmittedCall | CallResponse:
        """Looks up the queue of a call and the team of its API key.

        Returns a ``CallResponse`` if the call is refused.
        """
        configuration = self._usable_configuration()
        if configuration is None:
            age_ms = self._configuration.age_ms
            log.info(
                "call refused",
                job=_last_segment(call.path),
                reason="the configuration may be outdated",
                version=self._configuration.version,
                configuration_age_ms=age_ms,
            )
            return CallResponse(
                Outcome.NOT_RUN, "no current configuration", retry_after_ms=RETRY_AFTER_MS
            )
        queue = configuration.find_queue(call.host, call.path)
        if queue is None:
            return CallResponse(Outcome.NO_SUCH_QUEUE, "no such queue")
        team = configuration.find_team(call.key) if call.key else None
        if team is None and not queue.is_public:
            log.info(
                "call refused",
                job=_last_segment(call.path),
                reason="unknown API key",
                queue=queue.name,
                version=configuration.version,
                configuration_age_ms=self._configuration.age_ms,
            )
            return CallResponse(Outcome.UNKNOWN_KEY, "the key is not known")
        timeout_ms = min(
            call.timeout_ms or DEFAULT_CALL_TIMEOUT_MS,
            queue.answer_timeout_ms or DEFAULT_CALL_TIMEOUT_MS,
        )
        return AdmittedCall(
            queue,
            team.name if team is not None else TeamName(""),
            call.path[len(queue.path_prefix) :],
            max(0, timeout_ms - RESPONSE_MARGIN_MS),
        )

    async def submit(self, admitted: AdmittedCall, job: JobId, request: JobRequest) -> CallResponse:
        """Accepts a job by creating its record in the store."""
        error = find_request_error(request)
        if error is not None:
            return CallResponse(Outcome.MALFORMED, error)
        started_ms = self._clock.now_ms
        refusal = await self._refuse_for_load(admitted, job, request)
        if refusal is not None:
            return refusal
        accepted = self._accepted(admitted, job, request)
        write_result = await self._write(
            job_key(job),
            msgspec.json.encode(accepted),
            admitted.timeout_ms - (self._clock.now_ms - started_ms),
        )
        took_ms = self._clock.now_ms - started_ms
        self._submission_latencies.observe(took_ms)
        response = _to_response(write_result)
        SUBMISSIONS.inc({"outcome": response.outcome.value})
        log.info(
            "job submitted",
            job=job,
            queue=admitted.queue.name,
            team=admitted.team,
            version=self._configuration.version,
            outcome=response.outcome.value,
            took_ms=took_ms,
        )
        return response

    async def preview(
        self, admitted: AdmittedCall, job: JobId, request: JobRequest
    ) -> Result[JobPreview, CallResponse]:
        """Returns where a job would be placed now, without accepting it.

        Returns the response that the caller would get if the job would be refused, or if the owner
        doesn't answer.
        """
        error = find_request_error(request)
        if error is not None:
            return Err(CallResponse(Outcome.MALFORMED, error))
        found = await self._peers.placement(self._accepted(admitted, job, request))
        if found is None:
            return Err(
                CallResponse(
                    Outcome.NOT_RUN,
                    "the owner of the site is not known",
                    retry_after_ms=RETRY_AFTER_MS,
                )
            )
        return Ok(found)

    def _accepted(self, admitted: AdmittedCall, job: JobId, request: JobRequest) -> AcceptedJob:
        return AcceptedJob(
            job,
            admitted.queue.name,
            admitted.team,
            request,
            self._wall_clock.now_ms,
            admitted.queue,
        )

    async def show(self, admitted: AdmittedCall, job: JobId) -> CallResponse:
        """Returns a job's state as the owner knows it, or else as it is stored.

        If the job is about to end, the response waits for its end, so that the caller learns of it
        at once instead of with the next call.
        """
        wait_ms = min(MAX_JOB_END_WAIT_MS, admitted.timeout_ms // 3)
        owner_response = await self._peers.job_state(job, wait_ms)
        if owner_response is not None and owner_response.state is not None:
            return CallResponse(Outcome.SHOWN, state=owner_response.state)
        stored = await self._records.state(job)
        if isinstance(stored, Err):
            log.info("job state unavailable", job=job, failure=str(stored.err_value))
            return CallResponse(Outcome.NOT_RUN, "state not known", retry_after_ms=RETRY_AFTER_MS)
        if stored.ok_value is None:
            return CallResponse(Outcome.NO_SUCH_JOB, "no such job")
        return CallResponse(Outcome.SHOWN, state=stored.ok_value[1])

    async def cancel(self, admitted: AdmittedCall, job: JobId) -> CallResponse:
        """Cancels a job by writing a cancellation record to the store.

        The record is also written for a job that doesn't exist, since a submission without an
        answer may still create the job.
        """
        started_ms = self._clock.now_ms
        response = await self._cancel(admitted, job)
        log.info(
            "job cancellation handled",
            job=job,
            outcome=response.outcome.value,
            detail=response.detail,
            took_ms=self._clock.now_ms - started_ms,
        )
        return response

    async def _cancel(self, admitted: AdmittedCall, job: JobId) -> CallResponse:
        started_ms = self._clock.now_ms
        is_known = True
        owner_response = await self._peers.job_state(job)
        if owner_response is None or owner_response.state is None:
            stored = await self._records.find(job)
            if isinstance(stored, Err):
                return CallResponse(
                    Outcome.NOT_RUN, str(stored.err_value), retry_after_ms=RETRY_AFTER_MS
                )
            is_known = stored.ok_value is not None
            can_keep = owner_response is None or owner_response.keeps_cancellations
            if not is_known and not can_keep:
                return CallResponse(
                    Outcome.NOT_RUN,
                    "too many cancellations of unknown jobs are kept",
                    retry_after_ms=RETRY_AFTER_MS,
                )
        remaining_ms = admitted.timeout_ms - (self._clock.now_ms - started_ms)
        write_result = await self._write(cancellation_key(job), b"{}", remaining_ms)
        if write_result.is_stored and not is_known:
            return CallResponse(Outcome.NO_SUCH_JOB, "no such job")
        return _to_response(write_result)

    async def pending(self, admitted: AdmittedCall) -> CallResponse:
        """Returns the number of jobs in a queue of which no task has been started."""
        count = await self._peers.pending(admitted.queue.name)
        if count is None:
            return CallResponse(
                Outcome.NOT_RUN, "the owner of the site is not known", retry_after_ms=RETRY_AFTER_MS
            )
        return CallResponse(Outcome.SHOWN, pending=count)

    async def _refuse_for_load(
        self, admitted: AdmittedCall, job: JobId, request: JobRequest
    ) -> CallResponse | None:
        """Returns a refusal if the job is expected to be of no more use at its end; else None."""
        limits = self._peers.admission_limits
        if not limits.waits_ms or admitted.timeout_ms < MIN_REFUSAL_TIMEOUT_MS:
            return None
        demand = job_demand(request)
        if demand is None or not limits.may_refuse(admitted.queue, demand):
            return None
        retry_after_ms: int | None = await first_result(
            run_in_background(self._find_refusal(admitted, job, demand)),
            sleep(self._reactor, admitted.timeout_ms // REFUSAL_TIMEOUT_DIVISOR),
        )
        if retry_after_ms is None:
            return None
        JOBS_REFUSED.inc({"queue": admitted.queue.name, "reason": "beyond-use"})
        SUBMISSIONS.inc({"outcome": Outcome.NOT_RUN.value})
        log.info(
            "job refused",
            job=job,
            queue=admitted.queue.name,
            team=admitted.team,
            reason="it would end when it is of no more use",
            least_wait_ms=limits.waits_ms[admitted.queue.name],
            retry_after_ms=retry_after_ms,
        )
        return CallResponse(
            Outcome.NOT_RUN,
            "too much work is waiting for the job to end in time",
            retry_after_ms=retry_after_ms,
        )

    async def _find_refusal(
        self, admitted: AdmittedCall, job: JobId, demand: JobDemand
    ) -> int | None:
        """Returns when the caller may try again; None if the job is to be admitted."""
        retry_after_ms = await self._peers.decide_admission(
            job, admitted.queue.name, admitted.team, demand
        )
        if retry_after_ms is None:
            return None
        stored = await self._records.find(job)
        if isinstance(stored, Err) or stored.ok_value is not None:
            # An earlier attempt may have taken effect, so that a refusal would be wrong.
            return None
        return retry_after_ms

    async def _write(self, key: str, value: bytes, timeout_ms: int) -> StoreWriteSettled:
        """Writes a record and notifies the owner unless the record existed before."""
        write_result = await self._write_until_answered(key, value, timeout_ms)
        if write_result.is_new:
            self._peers.notify_owner(key, value)
        return write_result

    async def _write_until_answered(
        self, key: str, value: bytes, timeout_ms: int
    ) -> StoreWriteSettled:
        """Writes a record, alternating between direct and relayed writes.

        A relayed write is carried out by another entry host. Starts with one if the store has
        recently failed to answer this entry host.
        """
        deadline_ms = self._clock.now_ms + timeout_ms
        may_take_effect = False
        is_relayed = not self._records.is_store_healthy
        attempts = 0
        while (remaining_ms := deadline_ms - self._clock.now_ms) >= MIN_WRITE_ATTEMPT_MS:
            attempt_timeout_ms = min(remaining_ms, WRITE_ATTEMPT_TIMEOUT_MS)
            write_result = await (
                self._peers.relay_write(key, value, attempts // 2, attempt_timeout_ms)
                if is_relayed
                else self._records.write(key, value, attempt_timeout_ms)
            )
            if write_result is not None:
                if write_result.is_stored:
                    return write_result
                may_take_effect = may_take_effect or write_result.may_take_effect
            attempts += 1
            is_relayed = not is_relayed
            if not may_take_effect and attempts >= MAX_ATTEMPTS_WITHOUT_EFFECT:
                break
            if attempts % 2 == 0:
                await sleep(self._reactor, WRITE_RETRY_INTERVAL_MS)
        return StoreWriteSettled(False, may_take_effect)

    def _usable_configuration(self) -> SiteConfiguration | None:
        age_ms = self._configuration.age_ms
        if age_ms is None:
            return None
        if self._max_configuration_age_ms is not None and age_ms > self._max_configuration_age_ms:
            return None
        return self._configuration.current


def _last_segment(path: str) -> str:
    return path.rpartition("/")[2][:MAX_LOGGED_SEGMENT_LENGTH]


def _to_response(write_result: StoreWriteSettled) -> CallResponse:
    if write_result.is_stored:
        return CallResponse(Outcome.ACCEPTED)
    if write_result.may_take_effect:
        return CallResponse(Outcome.UNKNOWN, "the store has not answered")
    return CallResponse(
        Outcome.NOT_RUN, "the store can't be reached", retry_after_ms=RETRY_AFTER_MS
    )
