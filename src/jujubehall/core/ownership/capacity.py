"""Capacity of an entry host to own the site."""

from __future__ import annotations

import msgspec

LARGER_FACTOR = 2
"""Differences below this factor don't justify a change of the owner."""


class HostCapacity(msgspec.Struct, frozen=True):
    """Processor and network capacity of an entry host; 0 if unknown."""

    millicores: int = 0
    link_mbps: int = 0

    @property
    def is_known(self) -> bool:
        """Whether both resources are known."""
        return self.millicores > 0 and self.link_mbps > 0

    def is_larger_than(self, other: HostCapacity) -> bool:
        """Returns whether this host is better suited to own the site than ``other``.

        It must have at least ``LARGER_FACTOR`` times as much of one resource and no less of the
        other.
        """
        own = (self.millicores, self.link_mbps)
        others = (other.millicores, other.link_mbps)
        if not other.is_known or any(
            mine < theirs for mine, theirs in zip(own, others, strict=True)
        ):
            return False
        return any(mine >= LARGER_FACTOR * theirs for mine, theirs in zip(own, others, strict=True))
