"""Invariants of requests, their answers and the slots of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.requests.claim_records import LOST_PREFIX
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import RequestId
from jujubehall.testing.randomised.registry import invariant_check
from jujubehall.testing.randomised.simulation import TEAMS
from jujubehall.testing.randomised.simulation import SentRequest
from jujubehall.testing.randomised.violation import Violation

if TYPE_CHECKING:
    from jujubehall.testing.randomised.simulation import Simulation

AT_MOST_ONE_EXECUTION = "a non-idempotent request is executed at most once"
OWN_COMPLETE_ANSWER = "a caller receives the complete answer to its own request"
NOT_RUN_MEANS_NOT_EXECUTED = "a request that was refused as 'not run' was not executed"
GRACEFUL_SHUTDOWN = "a graceful shutdown drops no request in progress"
ENDPOINT_SLOTS = 8


@invariant_check(AT_MOST_ONE_EXECUTION)
def non_idempotent_requests_run_at_most_once(simulation: Simulation) -> None:
    """Checks the number of executions of each request on all endpoints."""
    for endpoint in simulation.site.endpoints.values():
        for identifier in endpoint.runs:
            sent = simulation.requests[identifier]
            runs = _execution_count(simulation, identifier)
            if runs > 1 and not sent.request.idempotent:
                raise Violation(AT_MOST_ONE_EXECUTION, f"{identifier} was executed {runs} times")


@invariant_check(OWN_COMPLETE_ANSWER)
def answers_match_their_requests(simulation: Simulation) -> None:
    """Checks that each answer has its request's identifier.

    A request that is reported as completed must have been executed by an endpoint.
    """
    for identifier, sent in simulation.requests.items():
        for answer in sent.answers:
            completed = answer.outcome is Outcome.COMPLETED
            if answer.id != identifier or (completed and answer.result["id"] != identifier):
                raise Violation(OWN_COMPLETE_ANSWER, f"{identifier} received the answer {answer}")
            if completed and not _execution_count(simulation, identifier):
                raise Violation(
                    OWN_COMPLETE_ANSWER,
                    f"{identifier} is reported as completed but was not executed",
                )


@invariant_check(NOT_RUN_MEANS_NOT_EXECUTED)
def refused_requests_did_not_run(simulation: Simulation) -> None:
    """Checks that a request with only refused attempts was not executed."""
    for identifier, sent in simulation.requests.items():
        refused = sum(answer.outcome is Outcome.NOT_RUN for answer in sent.answers)
        if refused == sent.attempts and _execution_count(simulation, identifier):
            raise Violation(NOT_RUN_MEANS_NOT_EXECUTED, f"{identifier} was executed")


@invariant_check(GRACEFUL_SHUTDOWN)
def graceful_shutdowns_drop_no_requests(simulation: Simulation) -> None:
    """Checks that each host that shut down gracefully had answered all requests it received."""
    if simulation.requests_dropped_by_stops:
        raise Violation(GRACEFUL_SHUTDOWN, ", ".join(simulation.requests_dropped_by_stops))


@invariant_check("all entry hosts together never use more slots than an endpoint has")
def endpoint_slots_are_not_exceeded(simulation: Simulation) -> None:
    """Checks the highest number of requests that each endpoint has executed concurrently."""
    for endpoint in simulation.site.endpoints.values():
        if endpoint.peak_running > ENDPOINT_SLOTS:
            raise Violation(
                "all entry hosts together never use more slots than an endpoint has",
                f"{endpoint.name} executed {endpoint.peak_running} requests at once",
            )


@invariant_check("every request gets its answer while its caller waits", at_end=True)
def requests_complete_after_recovery(simulation: Simulation) -> None:
    """Checks that a new request through every entry host completes once all failures have ended.

    If an owner was killed during a platform outage, claims that it held only in memory are lost.
    The shards concerned then answer "unknown" until the claims' retention time has passed,
    so "unknown" is accepted in this case.
    """
    claims_were_lost = bool(simulation.site.store.list_entries(LOST_PREFIX).entries)
    for host in simulation.running_hosts:
        identifier = simulation.unique_name("final")
        answer = simulation.site.run_coroutine(
            host.entry_host.requests.serve(_final_request(simulation, identifier))
        )
        if answer.outcome is Outcome.UNKNOWN and claims_were_lost:
            continue
        if answer.outcome is not Outcome.COMPLETED:
            raise Violation(
                "every request gets its answer while its caller waits",
                f"{host.name} answered {answer} after all failures had ended",
            )


def _final_request(simulation: Simulation, identifier: str) -> Request:
    request = Request(RequestId(identifier), TEAMS[0], "slot-hold")
    simulation.requests[request.id] = SentRequest(request)
    return request


def _execution_count(simulation: Simulation, identifier: RequestId) -> int:
    return sum(endpoint.runs.get(identifier, 0) for endpoint in simulation.site.endpoints.values())
