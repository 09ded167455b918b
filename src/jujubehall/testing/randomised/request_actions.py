"""Request actions of callers: sending, and sending again through the same or another entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.requests.request import Request
from jujubehall.identifiers import RequestId
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.randomised.registry import action
from jujubehall.testing.randomised.simulation import TEAMS
from jujubehall.testing.randomised.simulation import SentRequest
from jujubehall.testing.randomised.step import Step

if TYPE_CHECKING:
    from random import Random

    from jujubehall.core.requests.request import Answer
    from jujubehall.testing.randomised.simulation import Simulation

REQUEST_DEADLINE_MS = 3_000
MAX_RECENT_REQUESTS = 40
MAX_PAUSE_MS = 400


def _plan_new_request(simulation: Simulation, random: Random) -> Step:
    kind = random.choice(("slot-hold", "slot-hold", "who-is-free"))
    identifier = simulation.unique_name(kind)
    host = random.choice(simulation.running_hosts).name
    return Step("send request", random.randint(0, MAX_PAUSE_MS), identifier, host)


def _plan_repeated_request(simulation: Simulation, random: Random) -> Step | None:
    recent = list(simulation.requests)[-MAX_RECENT_REQUESTS:]
    if not recent:
        return None
    host = random.choice(simulation.running_hosts).name
    pause_ms = random.randint(0, MAX_PAUSE_MS)
    return Step("repeat request", pause_ms, random.choice(recent), host)


@action("send request", 30, _plan_new_request)
def send_request(simulation: Simulation, step: Step) -> None:
    """Sends a new request through an entry host."""
    team = TEAMS[len(simulation.requests) % len(TEAMS)]
    idempotent = step.target.startswith("who-is-free")
    kind = step.target.rsplit("-", 1)[0]
    request = Request(
        RequestId(step.target), team, kind, idempotent=idempotent, deadline_ms=REQUEST_DEADLINE_MS
    )
    simulation.requests[request.id] = SentRequest(request)
    _send(simulation, request.id, step.other)


@action("repeat request", 15, _plan_repeated_request)
def repeat_request(simulation: Simulation, step: Step) -> None:
    """Sends an earlier request again, through any entry host.

    The answer to the earlier attempt may not have arrived yet.
    """
    if step.target in simulation.requests:
        _send(simulation, RequestId(step.target), step.other)


def _send(simulation: Simulation, identifier: RequestId, host_name: str) -> None:
    sent = simulation.requests[identifier]
    sent.attempts += 1
    host = simulation.host(host_name)

    def record_answer(answer: Answer) -> None:
        sent.answers.append(answer)
        simulation.pending_requests[host].discard(identifier)

    def serve() -> None:
        simulation.pending_requests[host].add(identifier)
        run_in_background(host.entry_host.requests.serve(sent.request)).addCallback(record_answer)

    host.reactor.callLater(0, serve)
