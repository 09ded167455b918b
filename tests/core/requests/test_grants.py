"""An owner never claims in memory once a successor has waited for the end of the promises."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from jujubehall.core.requests import grants
from jujubehall.core.requests.grants import NEVER
from jujubehall.core.requests.grants import GrantBook
from jujubehall.core.requests.grants import HeldGrants
from jujubehall.core.requests.grants import tolerated_absences
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

OWNER = Incarnation("owner")
ROUNDS = 400
STEPS = 60
SEQUENCE = 7


class Overlap(AssertionError):
    """The owner could claim after its successor had begun."""


def race(random: Random) -> None:
    """One owner that asks for grants, and one successor that asks for withdrawals."""
    names = [EntryHostName(f"entry-{number}") for number in range(random.randint(3, 9))]
    owner, others = names[0], names[1:]
    books = {name: GrantBook() for name in others}
    held = HeldGrants()
    now_ms = 0
    ready_at_ms = None
    withdrawn: dict[EntryHostName, tuple[int, int]] = {}
    for _ in range(STEPS):
        now_ms += random.randint(0, 400)
        granter = random.choice(others)
        if random.random() < 0.8:
            asked_at_ms = now_ms
            now_ms += random.randint(0, 50)
            if books[granter].grant(OWNER, Epoch(1), SEQUENCE, now_ms):
                held.add(granter, SEQUENCE, asked_at_ms)
        elif random.random() < 0.5 and len(withdrawn) <= tolerated_absences(len(names)):
            withdrawn[granter] = books[granter].withdraw(OWNER, Epoch(2), now_ms)
            if len(withdrawn) == grants.tolerated_absences(len(names)) + 1:
                ready_at_ms = now_ms + max(remaining for remaining, _ in withdrawn.values())
        if held.suffice(names, SEQUENCE, now_ms):
            if ready_at_ms is not None and now_ms >= ready_at_ms:
                raise Overlap
            if ready_at_ms is not None and all(seen == NEVER for _, seen in withdrawn.values()):
                raise Overlap
    assert owner not in books


def run_races() -> None:
    for seed in range(ROUNDS):
        race(Random(seed))


def test_owner_and_successor_never_overlap() -> None:
    run_races()


def forget_promises(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(GrantBook, "withdraw", lambda *arguments: (0, NEVER))


def grant_after_withdrawal(monkeypatch: pytest.MonkeyPatch) -> None:
    withdraw = GrantBook.withdraw
    monkeypatch.setattr(
        GrantBook,
        "withdraw",
        lambda self, owner, epoch, now_ms: withdraw(self, owner, Epoch(0), now_ms),
    )


def promise_too_briefly(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(grants, "PROMISE_MS", grants.GRANT_MS - 1_000)


def tolerate_one_more_absence(monkeypatch: pytest.MonkeyPatch) -> None:
    # The owner relies on one grant less than the successor reckons with.
    suffice = HeldGrants.suffice
    monkeypatch.setattr(
        HeldGrants,
        "suffice",
        lambda self, granters, sequence, now_ms: suffice(self, granters[1:], sequence, now_ms),
    )


@pytest.mark.parametrize(
    "break_it",
    [forget_promises, grant_after_withdrawal, promise_too_briefly, tolerate_one_more_absence],
)
def test_broken_grants_overlap(
    monkeypatch: pytest.MonkeyPatch, break_it: Callable[[pytest.MonkeyPatch], None]
) -> None:
    break_it(monkeypatch)
    with pytest.raises(Overlap):
        run_races()
