"""Simulated network faults and latencies between the processes of a virtual site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import to_seconds

if TYPE_CHECKING:
    from random import Random

PLATFORM = "platform"
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 4
INTRA_ZONE_LATENCY_MS = 0.1


class Network:
    """Latencies, disconnected links and platform faults of a virtual site.

    Peers are identified by host name; the platform by ``PLATFORM``.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._disconnected_pairs: set[frozenset[str]] = set()
        self.is_platform_down = False
        """Whether the platform rejects all calls as unavailable."""

        self.platform_delay_ms = 0
        """Delay before the platform executes a call, in addition to the random latency."""

        self.zones: dict[str, str] = {}
        """The zone of each host by name; used only with ``inter_zone_latency_ms``."""

        self.inter_zone_latency_ms: float | None = None
        """Fixed one-way latency of messages between zones, in milliseconds.

        If it is set, messages within a zone take ``INTRA_ZONE_LATENCY_MS``. If it is None, each
        message has a random latency. Calls to workers and the platform always have a random one.
        """

        self.message_delays_ms: dict[type[Any], int] = {}
        """Delay of messages between hosts by their type, in addition to their latency."""

        self.response_loss_rate = 0.0
        """Fraction (0 to 1) of the successful platform writes whose responses are lost."""

    def disconnect(self, host: str, other: str) -> None:
        """Drops all messages between two hosts until ``reconnect`` is called for them."""
        self._disconnected_pairs.add(frozenset((host, other)))

    def reconnect(self, host: str, other: str) -> None:
        """Reconnects two hosts."""
        self._disconnected_pairs.discard(frozenset((host, other)))

    def reconnect_all(self) -> None:
        """Reconnects all hosts."""
        self._disconnected_pairs.clear()

    def is_disconnected(self, host: str, other: str) -> bool:
        """Returns whether messages between two hosts are dropped."""
        return frozenset((host, other)) in self._disconnected_pairs

    def random_latency_ms(self) -> int:
        """Returns a random one-way latency in milliseconds."""
        return self._random.randint(MIN_LATENCY_MS, MAX_LATENCY_MS)

    def latency_s(self, host: str, other: str) -> float:
        """Returns the one-way latency of the next message between two hosts, in seconds."""
        if self.inter_zone_latency_ms is None:
            return to_seconds(self.random_latency_ms())
        if self.zones.get(host) == self.zones.get(other):
            return INTRA_ZONE_LATENCY_MS / MS_PER_SECOND
        return self.inter_zone_latency_ms / MS_PER_SECOND

    def platform_call_delay_ms(self) -> int:
        """Returns the time in milliseconds until the platform executes the next call."""
        return self.random_latency_ms() + self.platform_delay_ms

    def loses_response(self) -> bool:
        """Returns whether the response to the next platform write is lost (random)."""
        return self._random.random() < self.response_loss_rate
