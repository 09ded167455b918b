"""Records the checks of the demonstration and their results."""

from __future__ import annotations

import msgspec


class Expectation(msgspec.Struct, frozen=True):
    """A check: what was expected, whether it held, and what was observed."""

    what: str
    held: bool
    seen: str = ""


class Expectations:
    """Collects the results of checks, in the order in which they were made."""

    def __init__(self) -> None:
        self._checked: list[Expectation] = []

    @property
    def checked(self) -> list[Expectation]:
        """All expectations checked so far."""
        return list(self._checked)

    @property
    def all_held(self) -> bool:
        """Whether every expectation held; False if nothing has been checked."""
        return bool(self._checked) and all(each.held for each in self._checked)

    def expect(self, what: str, held: bool, seen: str = "") -> None:
        """Records whether an expectation held, and optionally what was observed."""
        self._checked.append(Expectation(what, held, seen))
