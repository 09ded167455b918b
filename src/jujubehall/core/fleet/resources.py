"""Amounts of what tasks take on a worker."""

from __future__ import annotations

from typing import Annotated

import msgspec

MILLICORES_PER_ACCELERATOR = 8_000
"""The platform prices thrown-away work so."""


class Resources(msgspec.Struct, frozen=True):
    """Thousandths of a core, megabytes of memory and whole accelerators.

    Resources(4_000, 1_024, 1).fits_in(Resources(8_000, 2_048, 8)) is true.
    """

    millicores: Annotated[int, msgspec.Meta(ge=0)] = 0
    memory_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0)] = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """What is left after taking ``other``; never below zero."""
        return Resources(
            max(0, self.millicores - other.millicores),
            max(0, self.memory_mb - other.memory_mb),
            max(0, self.accelerators - other.accelerators),
        )

    def times(self, count: int) -> Resources:
        """The amount that ``count`` equal tasks take together."""
        return Resources(self.millicores * count, self.memory_mb * count, self.accelerators * count)

    @property
    def millicore_equivalents(self) -> int:
        """Thousandths of a core, with the accelerators counted as cores."""
        return self.millicores + MILLICORES_PER_ACCELERATOR * self.accelerators

    def fits_in(self, room: Resources) -> bool:
        """Whether ``room`` has at least this much of everything."""
        return (
            self.millicores <= room.millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def copies_in(self, room: Resources) -> int:
        """How many tasks of this size fit in ``room``; a task without needs fits always."""
        limits = [
            available // wanted
            for available, wanted in (
                (room.millicores, self.millicores),
                (room.memory_mb, self.memory_mb),
                (room.accelerators, self.accelerators),
            )
            if wanted
        ]
        return min(limits, default=MAX_COPIES)


MAX_COPIES = 10_000
"""Bounds how many tasks without needs one worker is given."""

NOTHING = Resources()
