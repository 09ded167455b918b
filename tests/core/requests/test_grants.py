"""Tests that an owner never claims in memory after a successor may have taken over.

The successor takes over once it has the withdrawals that it needs and their promises have expired.
If the owner could still claim then, both could run the same non-idempotent request.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from jujubehall.core.requests import grants
from jujubehall.core.requests.grants import NO_SEQUENCE
from jujubehall.core.requests.grants import HeldGrants
from jujubehall.core.requests.grants import IssuedGrants
from jujubehall.core.requests.grants import max_missing_granters
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

OWNER = Incarnation("owner")
SIMULATIONS = 400
STEPS_PER_SIMULATION = 60
SEQUENCE = 7


class OverlappingOwners(AssertionError):
    """The owner could claim after its successor had taken over."""


def simulate_takeover(random: Random) -> None:
    """Simulates an owner that requests grants and a successor that requests withdrawals.

    Raises ``OverlappingOwners`` if the owner holds sufficient grants after the successor may have
    taken over, or if none of the withdrawals reported that a grant was given.
    """
    members = [EntryHostName(f"entry-{number}") for number in range(random.randint(3, 9))]
    owner, others = members[0], members[1:]
    issued_grants = {name: IssuedGrants() for name in others}
    held = HeldGrants()
    now_ms = 0
    takeover_at_ms = None
    withdrawals: dict[EntryHostName, tuple[int, int]] = {}
    for _ in range(STEPS_PER_SIMULATION):
        now_ms += random.randint(0, 400)
        granter = random.choice(others)
        if random.random() < 0.8:
            requested_at_ms = now_ms
            now_ms += random.randint(0, 50)
            if issued_grants[granter].grant(OWNER, Epoch(1), SEQUENCE, now_ms):
                held.add(granter, SEQUENCE, requested_at_ms)
        elif random.random() < 0.5 and len(withdrawals) <= max_missing_granters(len(members)):
            withdrawals[granter] = issued_grants[granter].withdraw(OWNER, Epoch(2), now_ms)
            if len(withdrawals) == grants.max_missing_granters(len(members)) + 1:
                takeover_at_ms = now_ms + max(remaining for remaining, _ in withdrawals.values())
        if held.has_quorum(members, SEQUENCE, now_ms):
            if takeover_at_ms is not None and now_ms >= takeover_at_ms:
                raise OverlappingOwners
            if takeover_at_ms is not None and all(
                sequence == NO_SEQUENCE for _, sequence in withdrawals.values()
            ):
                raise OverlappingOwners
    assert owner not in issued_grants


def run_simulations() -> None:
    for seed in range(SIMULATIONS):
        simulate_takeover(Random(seed))


def test_owner_and_successor_never_overlap() -> None:
    run_simulations()


def lose_promises_on_withdrawal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(IssuedGrants, "withdraw", lambda *arguments: (0, NO_SEQUENCE))


def grant_after_withdrawal(monkeypatch: pytest.MonkeyPatch) -> None:
    withdraw = IssuedGrants.withdraw
    monkeypatch.setattr(
        IssuedGrants,
        "withdraw",
        lambda self, owner, epoch, now_ms: withdraw(self, owner, Epoch(0), now_ms),
    )


def promise_for_less_than_the_grant_validity(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(grants, "PROMISE_VALIDITY_MS", grants.GRANT_VALIDITY_MS - 1_000)


def tolerate_one_more_missing_granter(monkeypatch: pytest.MonkeyPatch) -> None:
    # The owner relies on one grant fewer than the successor assumes.
    has_quorum = HeldGrants.has_quorum
    monkeypatch.setattr(
        HeldGrants,
        "has_quorum",
        lambda self, granters, sequence, now_ms: has_quorum(self, granters[1:], sequence, now_ms),
    )


@pytest.mark.parametrize(
    "inject_fault",
    [
        lose_promises_on_withdrawal,
        grant_after_withdrawal,
        promise_for_less_than_the_grant_validity,
        tolerate_one_more_missing_granter,
    ],
)
def test_faulty_grants_let_owner_and_successor_overlap(
    monkeypatch: pytest.MonkeyPatch, inject_fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_fault(monkeypatch)
    with pytest.raises(OverlappingOwners):
        run_simulations()
