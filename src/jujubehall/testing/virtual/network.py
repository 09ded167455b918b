"""Delays, cuts and lost answers between the processes of a virtual site."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import to_seconds

if TYPE_CHECKING:
    from random import Random

PLATFORM = "platform"
MIN_DELAY_MS = 1
MAX_DELAY_MS = 4
WITHIN_ZONE_MS = 0.1


class Network:
    """What a message meets on its way; names are those of hosts, and ``PLATFORM``."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._cuts: set[frozenset[str]] = set()
        self.platform_down = False
        self.platform_delay_ms = 0
        self.zones: dict[str, str] = {}
        self.between_zones_ms: float | None = None
        """With this set, messages between hosts take this time, or less within a zone."""

        self.lost_answer_share = 0.0
        """The share of the platform's writes that take effect but whose answers are lost."""

    def cut(self, one: str, other: str) -> None:
        """Loses all messages between two hosts until they are joined again."""
        self._cuts.add(frozenset((one, other)))

    def join(self, one: str, other: str) -> None:
        """Ends a cut."""
        self._cuts.discard(frozenset((one, other)))

    def join_all(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether messages between two hosts are lost."""
        return frozenset((one, other)) in self._cuts

    def delay_ms(self) -> int:
        """The time that the next message takes."""
        return self._random.randint(MIN_DELAY_MS, MAX_DELAY_MS)

    def latency_s(self, one: str, other: str) -> float:
        """The seconds that a message between two hosts takes."""
        if self.between_zones_ms is None:
            return to_seconds(self.delay_ms())
        if self.zones.get(one) == self.zones.get(other):
            return WITHIN_ZONE_MS / MS_PER_SECOND
        return self.between_zones_ms / MS_PER_SECOND

    def platform_call_delay_ms(self) -> int:
        """The time that the platform takes to carry out the next call."""
        return self.delay_ms() + self.platform_delay_ms

    def loses_answer(self) -> bool:
        """Whether the next answer of the platform to a write is lost."""
        return self._random.random() < self.lost_answer_share
