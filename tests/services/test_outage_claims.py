"""Slot holds are served during an outage of the platform, and still run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from jujubehall.core.ownership.scopes import request_scope
from jujubehall.core.requests import tickets
from jujubehall.core.requests.grants import HeldGrants
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import RequestId
from jujubehall.services.claim_log import ClaimLog
from jujubehall.services.clearance import Clearance
from jujubehall.testing.virtual.network import PLATFORM
from tests.services.request_storm import TEAM
from tests.services.request_storm import RequestStorm
from tests.services.request_storm import Violation
from tests.services.request_storm import ready_site

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.requests.request import Answer
    from jujubehall.testing.virtual.site import VirtualSite

NAMES = [EntryHostName(f"entry-{number}") for number in range(4)]
STEPS = 150
OUTAGE_NOTICED_MS = 8_000
RETURN_MS = 20_000


@pytest.fixture
def site() -> VirtualSite:
    return ready_site(5)


def hold(number: int) -> Request:
    return Request(RequestId(f"hold-{number}"), TEAM, "slot-hold", deadline_ms=3_000)


def serve(site: VirtualSite, name: EntryHostName, request: Request) -> Answer:
    answer: Answer = site.finish(site.hosts[name].host.requests.serve(request))
    return answer


def runs(site: VirtualSite, request: Request) -> int:
    return sum(endpoint.runs.get(request.id, 0) for endpoint in site.endpoints.values())


def begin_outage(site: VirtualSite) -> None:
    site.network.platform_down = True
    site.run_for(OUTAGE_NOTICED_MS)


def end_outage(site: VirtualSite) -> None:
    site.network.platform_down = False
    site.run_for(RETURN_MS)


def owner(site: VirtualSite, request: Request) -> EntryHostName:
    record = site.hosts[NAMES[0]].host.membership.record
    return record.owners[request_scope(request.id)]


def test_slot_holds_are_served_without_the_platform(site: VirtualSite) -> None:
    begin_outage(site)
    requests = [hold(number) for number in range(60)]
    for number, request in enumerate(requests):
        assert serve(site, NAMES[number % 4], request).outcome is Outcome.COMPLETED
        site.run_for(500)
    end_outage(site)
    for number, request in enumerate(requests[-20:]):
        answer = serve(site, NAMES[(number + 1) % 4], request)
        assert answer.outcome is not Outcome.NOT_RUN
    assert all(runs(site, request) == 1 for request in requests)


def owner_dies_after_the_outage(site: VirtualSite) -> None:
    """The owner's claims in memory must be recorded by then."""
    begin_outage(site)
    request = hold(1)
    victim = owner(site, request)
    assert serve(site, victim, request).outcome is Outcome.COMPLETED
    end_outage(site)
    site.hosts[victim].reactor.kill()
    site.run_for(RETURN_MS)
    check_taken_over(site, request, next(name for name in NAMES if name != victim))


def owner_stays_cut_after_the_outage(site: VirtualSite) -> None:
    """The successor gets the claims in memory from the living owner."""
    begin_outage(site)
    request = hold(1)
    cut_off = owner(site, request)
    assert serve(site, cut_off, request).outcome is Outcome.COMPLETED
    site.network.cut(cut_off, PLATFORM)
    end_outage(site)
    site.run_for(RETURN_MS)
    check_taken_over(site, request, next(name for name in NAMES if name != cut_off))


def check_taken_over(site: VirtualSite, request: Request, successor: EntryHostName) -> None:
    assert serve(site, successor, request).outcome is Outcome.UNKNOWN
    assert runs(site, request) == 1
    # Nothing was lost: a new request of the same shard runs.
    same_shard = next(
        hold(n) for n in range(2, 9_999) if request_scope(hold(n).id) == request_scope(request.id)
    )
    assert serve(site, successor, same_shard).outcome is Outcome.COMPLETED


@pytest.mark.parametrize(
    "scenario", [owner_dies_after_the_outage, owner_stays_cut_after_the_outage]
)
def test_no_claim_in_memory_is_lost_after_the_outage(
    site: VirtualSite, scenario: Callable[[VirtualSite], None]
) -> None:
    scenario(site)


def test_an_owner_killed_in_an_outage_leaves_unknown_outcomes(site: VirtualSite) -> None:
    begin_outage(site)
    requests = [hold(number) for number in range(40)]
    for request in requests:
        serve(site, NAMES[0], request)
    site.hosts[NAMES[3]].reactor.kill()
    site.run_for(5_000)
    survivors = [each for each in requests if owner(site, each) != NAMES[3]]
    assert all(serve(site, NAMES[1], each).outcome is Outcome.COMPLETED for each in survivors)
    fresh = next(hold(n) for n in range(100, 999) if owner(site, hold(n)) != NAMES[3])
    assert serve(site, NAMES[1], fresh).outcome is Outcome.COMPLETED
    end_outage(site)
    for request in requests:
        assert serve(site, NAMES[2], request).outcome is not Outcome.NOT_RUN
        assert runs(site, request) == 1


def test_too_few_granters_refuse_at_once_but_tickets_are_served(site: VirtualSite) -> None:
    begin_outage(site)
    for name in NAMES[2:]:
        site.hosts[name].reactor.kill()
    site.run_for(6_000)
    request = next(hold(n) for n in range(99) if owner(site, hold(n)) == NAMES[0])
    began_at_ms = site.clock.now_ms
    answer = serve(site, NAMES[0], request)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after_ms > 0
    assert site.clock.now_ms - began_at_ms < 1_000
    ticket = site.hosts[NAMES[1]].host.requests.issue_tickets(1)[0]
    held = Request(ticket, TEAM, "slot-hold", deadline_ms=3_000)
    first = serve(site, NAMES[0], held)
    assert first.outcome is Outcome.COMPLETED
    assert serve(site, NAMES[1], held) == first
    assert runs(site, held) == 1
    assert runs(site, request) == 0


def test_a_ticket_of_a_process_that_is_gone_is_unknown(site: VirtualSite) -> None:
    ticket = site.hosts[NAMES[1]].host.requests.issue_tickets(1)[0]
    held = Request(ticket, TEAM, "slot-hold", deadline_ms=3_000)
    assert serve(site, NAMES[0], held).outcome is Outcome.COMPLETED
    site.hosts[NAMES[1]].reactor.kill()
    site.run_for(5_000)
    site.start_host(1)
    site.run_for(5_000)
    for name in NAMES:
        assert serve(site, name, held).outcome is Outcome.UNKNOWN
    assert runs(site, held) == 1


def test_an_expired_ticket_never_runs(site: VirtualSite, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tickets, "TICKET_LIFETIME_MS", 2_000)
    ticket = site.hosts[NAMES[1]].host.requests.issue_tickets(1)[0]
    held = Request(ticket, TEAM, "slot-hold", deadline_ms=3_000)
    site.run_for(2_000)
    assert serve(site, NAMES[1], held).outcome is Outcome.UNKNOWN
    assert runs(site, held) == 0


def test_an_owner_cut_from_the_platform_alone_makes_no_claims_in_memory(site: VirtualSite) -> None:
    request = hold(1)
    cut_off = owner(site, request)
    site.network.cut(cut_off, PLATFORM)
    other = next(name for name in NAMES if name != cut_off)
    site.run_until(lambda: not site.hosts[cut_off].host.hosts.is_connected)
    assert serve(site, cut_off, request).outcome is Outcome.NOT_RUN
    site.run_for(RETURN_MS)
    assert serve(site, other, request).outcome is Outcome.COMPLETED
    assert runs(site, request) == 1


def clear_unasked(monkeypatch: pytest.MonkeyPatch) -> None:
    async def clear(self: Clearance, head: Any, epoch: int) -> bool:
        return await self._mark(head)

    monkeypatch.setattr(Clearance, "clear", clear)


def claim_without_grants(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HeldGrants, "suffice", lambda *arguments: True)


def surrender_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClaimLog, "surrender", lambda self: ())


def drop_claims_in_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    write_all = ClaimLog._write_all

    async def write_without(self: ClaimLog, *arguments: Any) -> Any:
        self._in_memory.clear()
        return await write_all(self, *arguments)

    monkeypatch.setattr(ClaimLog, "_write_all", write_without)


@pytest.mark.parametrize("seed", range(4))
def test_promises_hold_in_storms_with_many_outages(seed: int) -> None:
    RequestStorm(seed, outages=True).run(STEPS)


@pytest.mark.parametrize("break_it", [clear_unasked, claim_without_grants])
def test_broken_grants_are_caught(
    monkeypatch: pytest.MonkeyPatch, break_it: Callable[[pytest.MonkeyPatch], None]
) -> None:
    break_it(monkeypatch)
    with pytest.raises(Violation):
        for seed in range(20):
            RequestStorm(seed, outages=True).run(STEPS)


@pytest.mark.parametrize(
    ("break_it", "scenario"),
    [
        (drop_claims_in_memory, owner_dies_after_the_outage),
        (surrender_nothing, owner_stays_cut_after_the_outage),
    ],
)
def test_lost_claims_in_memory_are_caught(
    site: VirtualSite,
    monkeypatch: pytest.MonkeyPatch,
    break_it: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[VirtualSite], None],
) -> None:
    break_it(monkeypatch)
    with pytest.raises(AssertionError, match="COMPLETED"):
        scenario(site)
