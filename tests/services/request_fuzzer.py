"""Sends seeded random requests to a virtual site under injected failures, and checks invariants.

The invariants: no request runs more than once, an answer belongs to its request, a completed
request ran, and a request that ran isn't answered "not run" on every attempt.
"""

from __future__ import annotations

import gc

from contextlib import contextmanager
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.ownership.scopes import REQUEST_SHARDS
from jujubehall.core.ownership.scopes import shard_of
from jujubehall.core.ownership.scopes import shard_scope
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.core.requests.tickets import parse_ticket
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import RequestId
from jujubehall.identifiers import TeamName
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.endpoint_stand_in import EndpointBehaviour
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from jujubehall.core.requests.request import Answer
    from jujubehall.testing.virtual.site import VirtualEntryHost

SITE = SiteFile(
    zones=("zone-a", "zone-b"),
    entry_hosts=4,
    endpoints=3,
    workers=1,
    workers_per_rack=1,
    worker_capacity=Resources(8, 60, 250),
    first_port=20_000,
)
TEAM = TeamName("studio")
STEP_MS = 100
RECOVERY_MS = 20_000
DEADLINE_MS = 3_000
CLAIM_DELAY_MS = 200
SEND_INTERVAL_MS = 10
REQUESTS_BEFORE_SUSPENSION = 4
RETRIES_WHILE_SUSPENDED = 4
SUSPENSION_MS = (6_000, 12_000)
"""Long enough for another host to take over the shards of the suspended one."""

BEHAVIOURS = (
    EndpointBehaviour(),
    EndpointBehaviour(run_ms=300),
    EndpointBehaviour(late_ms=4_000),
    EndpointBehaviour(cross=True, run_ms=50),
    EndpointBehaviour(truncate=True),
    EndpointBehaviour(fail=True),
    EndpointBehaviour(leaving=True),
)


def ready_site(seed: int, site_file: SiteFile = SITE) -> VirtualSite:
    """Creates a site whose entry hosts have all taken over their shards."""
    site = VirtualSite(site_file, seed)
    site.run_until(lambda: all(each.entry_host.is_ready for each in site.hosts.values()))
    site.run_for(3_000)
    return site


@contextmanager
def no_garbage_collection() -> Iterator[None]:
    """Disables the collection of reference cycles.

    A collection closes the coroutines of killed hosts. Their ``finally`` blocks release locks, and
    the next waiter draws from the random source of the site, so that a run would depend on when a
    collection happens and not only on its seed.
    """
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class Violation(AssertionError):
    """An invariant of the request service was violated."""


class RequestFuzzer:
    """Sends and retries requests while it injects random failures."""

    def __init__(self, seed: int, *, outages: bool = False) -> None:
        self.random = Random(seed)
        self.site = ready_site(seed)
        self.answers: dict[RequestId, list[Answer]] = {}
        self.attempts: dict[RequestId, int] = {}
        self._requests: list[Request] = []
        self._failures: tuple[Callable[[], None], ...] = (
            self._kill,
            self._suspend,
            self._disconnect_from_platform,
            self._disconnect_from_peer,
            self._platform_outage,
            self._drop_responses,
            self._slow_platform,
            self._change_endpoint_behaviour,
            self._refuse_connections,
            self._change_owners,
            self._suspend_owner_while_claims_wait,
        )
        if outages:
            self._failures = (
                self._kill,
                self._suspend,
                self._disconnect_from_platform,
                self._disconnect_from_peers,
                self._platform_outage,
                self._platform_outage,
            )

    def run(self, steps: int) -> None:
        """Sends requests under failures, lets the site recover, and checks all invariants."""
        with no_garbage_collection():
            self._run(steps)

    def _run(self, steps: int) -> None:
        for _ in range(steps):
            for _ in range(self.random.randint(0, 4)):
                self._send()
            if self.random.random() < 0.12:
                self.random.choice(self._failures)()
            self.site.run_for(STEP_MS)
        self._end_failures()
        self.site.run_for(RECOVERY_MS)
        self.check()
        # Retry every request after the recovery: a lost claim shows as a second run.
        for request in self._requests:
            self._send(request)
        self.site.run_for(DEADLINE_MS)
        self.check()

    def check(self) -> None:
        """Raises ``Violation`` if an invariant is violated."""
        for request, answers in self.answers.items():
            runs = self._runs(request)
            if runs > 1:
                raise Violation(f"{request} ran {runs} times instead of at most once")
            completed = [each for each in answers if each.outcome is Outcome.COMPLETED]
            if any(each.id != request or each.result["id"] != request for each in completed):
                raise Violation(f"{request} got the answer of another request")
            if completed and runs != 1:
                raise Violation(f"{request} completed without a run")
            refused = [each for each in answers if each.outcome is Outcome.NOT_RUN]
            if runs and len(refused) == self.attempts[request]:
                raise Violation(f"{request} ran although every attempt was answered as not run")

    def _runs(self, request: RequestId) -> int:
        return sum(each.runs.get(request, 0) for each in self.site.endpoints.values())

    def _send(self, request: Request | None = None) -> None:
        hosts = [each for each in self.site.hosts.values() if not each.reactor.is_killed]
        if not hosts:
            return
        self._send_to(self.random.choice(hosts), request)

    def _send_to(self, host: VirtualEntryHost, request: Request | None = None) -> None:
        if request is None and self._requests and self.random.random() < 0.5:
            request = self.random.choice(self._requests[-60:])
        request = request or self._new_request()
        self.attempts[request.id] = self.attempts.get(request.id, 0) + 1
        # A suspended process handles the request only after it resumes.
        host.reactor.callLater(0, self._serve, host, request)

    def _serve(self, host: VirtualEntryHost, request: Request) -> None:
        served = run_in_background(host.entry_host.requests.serve(request))
        served.addCallback(self.answers[request.id].append)

    def _new_request(self) -> Request:
        identifier = RequestId(f"hold-{len(self.answers)}")
        if self.random.random() < 0.3:
            live_hosts = [each for each in self.site.hosts.values() if not each.reactor.is_killed]
            identifier = self.random.choice(live_hosts).entry_host.requests.issue_tickets(1)[0]
            assert parse_ticket(identifier) is not None
        return self._add_request(identifier)

    def _new_request_of(self, owner: VirtualEntryHost) -> Request:
        """Creates a request of a shard that ``owner`` owns; it must own one."""
        identifiers = (RequestId(f"hold-{len(self.answers)}-{number}") for number in count())
        return self._add_request(
            next(
                each
                for each in identifiers
                if owner.entry_host.membership.owns(shard_scope(shard_of(each)))
            )
        )

    def _add_request(self, identifier: RequestId) -> Request:
        request = Request(identifier, TEAM, "slot-hold", deadline_ms=DEADLINE_MS)
        self.answers[identifier] = []
        self._requests.append(request)
        return request

    def _undo_later(self, undo: Callable[[], object], at_most_ms: int = 9_000) -> None:
        self.site.time.callLater(self.random.randint(50, at_most_ms) / 1_000, undo)

    def _random_host(self) -> EntryHostName:
        return self.random.choice(list(self.site.hosts))

    def _kill(self) -> None:
        name = self._random_host()
        number = int(name.rsplit("-", 1)[1])
        victim = self.site.hosts[name]
        if victim.reactor.is_killed:
            return
        victim.reactor.kill()
        self._undo_later(lambda: self.site.start_host(number))

    def _suspend(self) -> None:
        victim = self.site.hosts[self._random_host()]
        victim.reactor.suspend()
        self._undo_later(victim.reactor.resume)

    def _disconnect_from_platform(self) -> None:
        name = self._random_host()
        self.site.network.disconnect(name, PLATFORM)
        self._undo_later(lambda: self.site.network.reconnect(name, PLATFORM))

    def _disconnect_from_peer(self) -> None:
        one = self._random_host()
        other = self._random_host()
        self.site.network.disconnect(one, other)
        self._undo_later(lambda: self.site.network.reconnect(one, other))

    def _disconnect_from_peers(self) -> None:
        victim = self._random_host()
        for other in self.site.hosts:
            self.site.network.disconnect(victim, other)
        self._undo_later(self.site.network.reconnect_all)

    def _platform_outage(self) -> None:
        self.site.network.is_platform_down = True
        self._undo_later(lambda: setattr(self.site.network, "is_platform_down", False), 25_000)

    def _drop_responses(self) -> None:
        self.site.network.response_loss_rate = 0.4
        self._undo_later(lambda: setattr(self.site.network, "response_loss_rate", 0.0))

    def _slow_platform(self) -> None:
        self.site.network.platform_delay_ms = self.random.choice((50, 400, 1_500))
        self._undo_later(lambda: setattr(self.site.network, "platform_delay_ms", 0), 4_000)

    def _change_endpoint_behaviour(self) -> None:
        endpoint = self.random.choice(list(self.site.endpoints.values()))
        endpoint.behaviour = self.random.choice(BEHAVIOURS)
        self._undo_later(lambda: setattr(endpoint, "behaviour", EndpointBehaviour()))

    def _refuse_connections(self) -> None:
        endpoint = self.random.choice(list(self.site.endpoints.values()))
        endpoint.is_down = True
        self._undo_later(lambda: setattr(endpoint, "is_down", False), 2_000)

    def _change_owners(self) -> None:
        # Toggling ``draining`` on a member moves shards between live owners.
        name = self._random_host()
        host = self.site.hosts[name]
        member = host.entry_host.membership.member
        changed = msgspec.structs.replace(member, draining=not member.draining)
        host.entry_host.membership._member = changed
        self._undo_later(lambda: setattr(host.entry_host.membership, "_member", member), 4_000)

    def _suspend_owner_while_claims_wait(self) -> None:
        """Suspends an owner after it has accepted requests, but before it has claimed them all.

        Only one write of claims is in progress at a time. On a slow platform, claims wait for it,
        and the owner continues them when it resumes, after callers have retried elsewhere.
        """
        owner = self.site.hosts[self._random_host()]
        membership = owner.entry_host.membership
        if owner.reactor.is_killed or owner.reactor.is_suspended:
            return
        if not any(membership.owns(shard_scope(shard)) for shard in range(REQUEST_SHARDS)):
            return
        self.site.network.platform_delay_ms = CLAIM_DELAY_MS
        for _ in range(REQUESTS_BEFORE_SUSPENSION):
            request = self._new_request_of(owner)
            self._send_to(owner, request)
            self.site.run_for(SEND_INTERVAL_MS)
            for _ in range(RETRIES_WHILE_SUSPENDED):
                self._undo_later(lambda retried=request: self._send(retried))  # type: ignore[misc]
        self.site.network.platform_delay_ms = 0
        owner.reactor.suspend()
        resume_ms = self.random.randint(*SUSPENSION_MS)
        self.site.time.callLater(resume_ms / 1_000, owner.reactor.resume)

    def _end_failures(self) -> None:
        self.site.network.reconnect_all()
        self.site.network.is_platform_down = False
        self.site.network.response_loss_rate = 0.0
        self.site.network.platform_delay_ms = 0
        for endpoint in self.site.endpoints.values():
            endpoint.behaviour = EndpointBehaviour()
            endpoint.is_down = False
