"""The promises about requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.requests.claim_records import LOST_PREFIX
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import RequestId
from jujubehall.testing.randomised.registry import invariant
from jujubehall.testing.randomised.violation import Violation
from jujubehall.testing.randomised.world import TEAMS
from jujubehall.testing.randomised.world import SentRequest

if TYPE_CHECKING:
    from jujubehall.testing.randomised.world import World

ONE_RUN = "a non-idempotent request runs at most once"
OWN_ANSWER = "a caller gets the whole answer to its own request"
TRUE_REFUSAL = "a request that was refused with 'not run' did not run"
UNCUT = "a planned stop cuts no request in progress"
SLOTS = 8


@invariant(ONE_RUN)
def runs_at_most_once(world: World) -> None:
    """Counts the runs at the endpoints."""
    for endpoint in world.site.endpoints.values():
        for identifier in endpoint.runs:
            sent = world.requests[identifier]
            runs = _runs(world, identifier)
            if runs > 1 and not sent.request.idempotent:
                raise Violation(ONE_RUN, f"{identifier} ran {runs} times")


@invariant(OWN_ANSWER)
def answers_belong_to_their_requests(world: World) -> None:
    """Compares each answer with its request, and each result with the runs."""
    for identifier, sent in world.requests.items():
        for answer in sent.answers:
            completed = answer.outcome is Outcome.COMPLETED
            if answer.id != identifier or (completed and answer.result["id"] != identifier):
                raise Violation(OWN_ANSWER, f"{identifier} got {answer}")
            if completed and not _runs(world, identifier):
                raise Violation(OWN_ANSWER, f"{identifier} completed without a run")


@invariant(TRUE_REFUSAL)
def refused_requests_did_not_run(world: World) -> None:
    """A request of which every attempt was refused has not run."""
    for identifier, sent in world.requests.items():
        refused = sum(answer.outcome is Outcome.NOT_RUN for answer in sent.answers)
        if refused == sent.attempts and _runs(world, identifier):
            raise Violation(TRUE_REFUSAL, f"{identifier} ran")


@invariant(UNCUT)
def planned_stops_cut_nothing(world: World) -> None:
    """A host that exited after a planned stop had answered every request that reached it."""
    if world.cut_by_stops:
        raise Violation(UNCUT, ", ".join(world.cut_by_stops))


@invariant("the slots of an endpoint are respected by all entry hosts together")
def slots_are_respected(world: World) -> None:
    """Looks at the most requests that ever ran at once."""
    for endpoint in world.site.endpoints.values():
        if endpoint.most_running > SLOTS:
            raise Violation("slots", f"{endpoint.name} ran {endpoint.most_running} at once")


@invariant("every request is answered while its caller waits", at_end=True)
def requests_are_answered_after_healing(world: World) -> None:
    """After the end of all failures, a new request through every entry host completes.

    Where claims were lost with the memory of an owner that died during an outage, the shards
    concerned answer "unknown" for the time of the claims' retention.
    """
    claims_were_lost = bool(world.site.store.list_entries(LOST_PREFIX).entries)
    for host in world.running_hosts:
        identifier = world.next_name("final")
        answer = world.site.finish(host.host.requests.serve(_final_request(world, identifier)))
        if answer.outcome is Outcome.UNKNOWN and claims_were_lost:
            continue
        if answer.outcome is not Outcome.COMPLETED:
            raise Violation("recovery", f"{host.name} answered {answer} after all had healed")


def _final_request(world: World, identifier: str) -> Request:
    request = Request(RequestId(identifier), TEAMS[0], "slot-hold")
    world.requests[request.id] = SentRequest(request)
    return request


def _runs(world: World, identifier: RequestId) -> int:
    return sum(endpoint.runs.get(identifier, 0) for endpoint in world.site.endpoints.values())
