"""Non-idempotent requests are served during a platform outage, and still run at most once."""

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
from jujubehall.services.claim_recovery import ClaimRecovery
from jujubehall.testing.virtual.network import PLATFORM
from tests.services.request_fuzzer import TEAM
from tests.services.request_fuzzer import RequestFuzzer
from tests.services.request_fuzzer import Violation
from tests.services.request_fuzzer import ready_site

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.requests.request import Answer
    from jujubehall.testing.virtual.site import VirtualSite

ENTRY_HOST_NAMES = [EntryHostName(f"entry-{number}") for number in range(4)]
STEPS = 150
OUTAGE_DETECTION_MS = 8_000
RECOVERY_MS = 20_000


@pytest.fixture
def site() -> VirtualSite:
    return ready_site(5)


def slot_hold_request(number: int) -> Request:
    return Request(RequestId(f"hold-{number}"), TEAM, "slot-hold", deadline_ms=3_000)


def serve(site: VirtualSite, name: EntryHostName, request: Request) -> Answer:
    answer: Answer = site.run_coroutine(site.hosts[name].entry_host.requests.serve(request))
    return answer


def runs(site: VirtualSite, request: Request) -> int:
    return sum(endpoint.runs.get(request.id, 0) for endpoint in site.endpoints.values())


def begin_outage(site: VirtualSite) -> None:
    site.network.is_platform_down = True
    site.run_for(OUTAGE_DETECTION_MS)


def end_outage(site: VirtualSite) -> None:
    site.network.is_platform_down = False
    site.run_for(RECOVERY_MS)


def owner_of(site: VirtualSite, request: Request) -> EntryHostName:
    record = site.hosts[ENTRY_HOST_NAMES[0]].entry_host.membership.record
    return record.owners[request_scope(request.id)]


def test_slot_holds_are_served_during_an_outage(site: VirtualSite) -> None:
    begin_outage(site)
    requests = [slot_hold_request(number) for number in range(60)]
    for number, request in enumerate(requests):
        assert serve(site, ENTRY_HOST_NAMES[number % 4], request).outcome is Outcome.COMPLETED
        site.run_for(500)
    end_outage(site)
    for number, request in enumerate(requests[-20:]):
        answer = serve(site, ENTRY_HOST_NAMES[(number + 1) % 4], request)
        assert answer.outcome is not Outcome.NOT_RUN
    assert all(runs(site, request) == 1 for request in requests)


def owner_crashes_after_the_outage(site: VirtualSite) -> None:
    """Kills an owner after the outage, when its in-memory claims must have been recorded."""
    begin_outage(site)
    request = slot_hold_request(1)
    victim = owner_of(site, request)
    assert serve(site, victim, request).outcome is Outcome.COMPLETED
    end_outage(site)
    site.hosts[victim].reactor.kill()
    site.run_for(RECOVERY_MS)
    check_claim_was_inherited(
        site, request, next(name for name in ENTRY_HOST_NAMES if name != victim)
    )


def owner_stays_disconnected_after_the_outage(site: VirtualSite) -> None:
    """Keeps an owner disconnected, so that its successor must fetch its in-memory claims."""
    begin_outage(site)
    request = slot_hold_request(1)
    disconnected = owner_of(site, request)
    assert serve(site, disconnected, request).outcome is Outcome.COMPLETED
    site.network.disconnect(disconnected, PLATFORM)
    end_outage(site)
    site.run_for(RECOVERY_MS)
    check_claim_was_inherited(
        site, request, next(name for name in ENTRY_HOST_NAMES if name != disconnected)
    )


def check_claim_was_inherited(
    site: VirtualSite, request: Request, successor: EntryHostName
) -> None:
    assert serve(site, successor, request).outcome is Outcome.UNKNOWN
    assert runs(site, request) == 1
    # No claims of the shard were recorded as lost: a new request of the same shard runs.
    same_shard = next(
        slot_hold_request(n)
        for n in range(2, 9_999)
        if request_scope(slot_hold_request(n).id) == request_scope(request.id)
    )
    assert serve(site, successor, same_shard).outcome is Outcome.COMPLETED


@pytest.mark.parametrize(
    "scenario", [owner_crashes_after_the_outage, owner_stays_disconnected_after_the_outage]
)
def test_in_memory_claims_are_inherited_after_the_outage(
    site: VirtualSite, scenario: Callable[[VirtualSite], None]
) -> None:
    scenario(site)


def test_requests_of_an_owner_killed_in_an_outage_never_run_twice(site: VirtualSite) -> None:
    begin_outage(site)
    requests = [slot_hold_request(number) for number in range(40)]
    for request in requests:
        serve(site, ENTRY_HOST_NAMES[0], request)
    site.hosts[ENTRY_HOST_NAMES[3]].reactor.kill()
    site.run_for(5_000)
    survivors = [each for each in requests if owner_of(site, each) != ENTRY_HOST_NAMES[3]]
    assert all(
        serve(site, ENTRY_HOST_NAMES[1], each).outcome is Outcome.COMPLETED for each in survivors
    )
    new_request = next(
        slot_hold_request(n)
        for n in range(100, 999)
        if owner_of(site, slot_hold_request(n)) != ENTRY_HOST_NAMES[3]
    )
    assert serve(site, ENTRY_HOST_NAMES[1], new_request).outcome is Outcome.COMPLETED
    end_outage(site)
    for request in requests:
        assert serve(site, ENTRY_HOST_NAMES[2], request).outcome is not Outcome.NOT_RUN
        assert runs(site, request) == 1


def test_requests_are_refused_without_enough_granters_but_tickets_are_served(
    site: VirtualSite,
) -> None:
    begin_outage(site)
    for name in ENTRY_HOST_NAMES[2:]:
        site.hosts[name].reactor.kill()
    site.run_for(6_000)
    request = next(
        slot_hold_request(n)
        for n in range(99)
        if owner_of(site, slot_hold_request(n)) == ENTRY_HOST_NAMES[0]
    )
    began_at_ms = site.clock.now_ms
    answer = serve(site, ENTRY_HOST_NAMES[0], request)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after_ms > 0
    assert site.clock.now_ms - began_at_ms < 1_000
    ticket = site.hosts[ENTRY_HOST_NAMES[1]].entry_host.requests.issue_tickets(1)[0]
    request_with_ticket = Request(ticket, TEAM, "slot-hold", deadline_ms=3_000)
    first = serve(site, ENTRY_HOST_NAMES[0], request_with_ticket)
    assert first.outcome is Outcome.COMPLETED
    assert serve(site, ENTRY_HOST_NAMES[1], request_with_ticket) == first
    assert runs(site, request_with_ticket) == 1
    assert runs(site, request) == 0


def test_ticket_of_an_ended_process_is_answered_unknown(site: VirtualSite) -> None:
    ticket = site.hosts[ENTRY_HOST_NAMES[1]].entry_host.requests.issue_tickets(1)[0]
    request_with_ticket = Request(ticket, TEAM, "slot-hold", deadline_ms=3_000)
    assert serve(site, ENTRY_HOST_NAMES[0], request_with_ticket).outcome is Outcome.COMPLETED
    site.hosts[ENTRY_HOST_NAMES[1]].reactor.kill()
    site.run_for(5_000)
    site.start_host(1)
    site.run_for(5_000)
    for name in ENTRY_HOST_NAMES:
        assert serve(site, name, request_with_ticket).outcome is Outcome.UNKNOWN
    assert runs(site, request_with_ticket) == 1


def test_expired_ticket_never_runs(site: VirtualSite, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tickets, "TICKET_LIFETIME_MS", 2_000)
    ticket = site.hosts[ENTRY_HOST_NAMES[1]].entry_host.requests.issue_tickets(1)[0]
    request_with_ticket = Request(ticket, TEAM, "slot-hold", deadline_ms=3_000)
    site.run_for(2_000)
    assert serve(site, ENTRY_HOST_NAMES[1], request_with_ticket).outcome is Outcome.UNKNOWN
    assert runs(site, request_with_ticket) == 0


def test_single_owner_disconnected_from_the_platform_makes_no_in_memory_claims(
    site: VirtualSite,
) -> None:
    request = slot_hold_request(1)
    disconnected = owner_of(site, request)
    site.network.disconnect(disconnected, PLATFORM)
    other = next(name for name in ENTRY_HOST_NAMES if name != disconnected)
    site.run_until(lambda: not site.hosts[disconnected].entry_host.hosts.is_connected)
    assert serve(site, disconnected, request).outcome is Outcome.NOT_RUN
    site.run_for(RECOVERY_MS)
    assert serve(site, other, request).outcome is Outcome.COMPLETED
    assert runs(site, request) == 1


def clear_without_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    async def clear(self: ClaimRecovery, head: Any, epoch: int) -> bool:
        return await self._mark_cleared(head)

    monkeypatch.setattr(ClaimRecovery, "clear", clear)


def claim_without_grants(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HeldGrants, "has_quorum", lambda *arguments: True)


def hand_over_no_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClaimLog, "hand_over_in_memory_claims", lambda self: ())


def discard_in_memory_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    write_all = ClaimLog._write_all_claims

    async def write_without(self: ClaimLog, *arguments: Any) -> Any:
        self._in_memory_claims.clear()
        return await write_all(self, *arguments)

    monkeypatch.setattr(ClaimLog, "_write_all_claims", write_without)


@pytest.mark.parametrize("seed", range(4))
def test_invariants_hold_under_frequent_outages(seed: int) -> None:
    RequestFuzzer(seed, outages=True).run(STEPS)


@pytest.mark.parametrize("inject_defect", [clear_without_requests, claim_without_grants])
def test_injected_grant_defects_are_detected(
    monkeypatch: pytest.MonkeyPatch, inject_defect: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_defect(monkeypatch)
    with pytest.raises(Violation):
        for seed in range(20):
            RequestFuzzer(seed, outages=True).run(STEPS)


@pytest.mark.parametrize(
    ("inject_defect", "scenario"),
    [
        (discard_in_memory_claims, owner_crashes_after_the_outage),
        (hand_over_no_claims, owner_stays_disconnected_after_the_outage),
    ],
)
def test_lost_in_memory_claims_are_detected(
    site: VirtualSite,
    monkeypatch: pytest.MonkeyPatch,
    inject_defect: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[VirtualSite], None],
) -> None:
    inject_defect(monkeypatch)
    with pytest.raises(AssertionError, match="COMPLETED"):
        scenario(site)
