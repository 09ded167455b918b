"""What the demonstration expects, each with whether it came so."""

from __future__ import annotations

import msgspec


class Expectation(msgspec.Struct, frozen=True):
    """One expected fact and what was seen."""

    what: str
    held: bool
    seen: str = ""


class Expectations:
    """Collects expectations in the order in which they are checked."""

    def __init__(self) -> None:
        self._checked: list[Expectation] = []

    @property
    def checked(self) -> list[Expectation]:
        """Every expectation so far."""
        return list(self._checked)

    @property
    def all_held(self) -> bool:
        """Whether every expectation held; nothing checked counts as a failure."""
        return bool(self._checked) and all(each.held for each in self._checked)

    def expect(self, what: str, held: bool, seen: str = "") -> None:
        """Records one expectation."""
        self._checked.append(Expectation(what, held, seen))
