"""What callers do with requests: send, lose patience, try again through another entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.requests.request import Request
from jujubehall.identifiers import RequestId
from jujubehall.services.timing import start
from jujubehall.testing.randomised.registry import action
from jujubehall.testing.randomised.step import Step
from jujubehall.testing.randomised.world import TEAMS
from jujubehall.testing.randomised.world import SentRequest

if TYPE_CHECKING:
    from random import Random

    from jujubehall.core.requests.request import Answer
    from jujubehall.testing.randomised.world import World

DEADLINE_MS = 3_000
RECENT_REQUESTS = 40
MAX_PAUSE_MS = 400


def _plan_new(world: World, random: Random) -> Step:
    kind = random.choice(("slot-hold", "slot-hold", "who-is-free"))
    identifier = world.next_name(kind)
    host = random.choice(world.running_hosts).name
    return Step("send request", random.randint(0, MAX_PAUSE_MS), identifier, host)


def _plan_repeat(world: World, random: Random) -> Step | None:
    recent = list(world.requests)[-RECENT_REQUESTS:]
    if not recent:
        return None
    host = random.choice(world.running_hosts).name
    pause_ms = random.randint(0, MAX_PAUSE_MS)
    return Step("repeat request", pause_ms, random.choice(recent), host)


@action("send request", 30, _plan_new)
def send_request(world: World, step: Step) -> None:
    """Sends a new request through an entry host."""
    team = TEAMS[len(world.requests) % len(TEAMS)]
    idempotent = step.target.startswith("who-is-free")
    kind = step.target.rsplit("-", 1)[0]
    request = Request(
        RequestId(step.target), team, kind, idempotent=idempotent, deadline_ms=DEADLINE_MS
    )
    world.requests[request.id] = SentRequest(request)
    _send(world, request.id, step.other)


@action("repeat request", 15, _plan_repeat)
def repeat_request(world: World, step: Step) -> None:
    """Sends an earlier request again, through any entry host."""
    if step.target in world.requests:
        _send(world, RequestId(step.target), step.other)


def _send(world: World, identifier: RequestId, host_name: str) -> None:
    sent = world.requests[identifier]
    sent.attempts += 1
    host = world.host(host_name)

    def note(answer: Answer) -> None:
        sent.answers.append(answer)
        world.unanswered[host].discard(identifier)

    def serve() -> None:
        world.unanswered[host].add(identifier)
        start(host.host.requests.serve(sent.request)).addCallback(note)

    host.reactor.callLater(0, serve)
