"""Resource amounts of tasks and workers."""

from __future__ import annotations

import msgspec

from jujubehall.decoding import Amount

MILLICORES_PER_ACCELERATOR = 8_000
"""The rate at which the platform prices lost work: one accelerator counts as eight cores."""


class Resources(msgspec.Struct, frozen=True):
    """An amount of CPU in millicores, memory in megabytes, and whole accelerators.

    ``Resources(4_000, 1_024, 1).fits_in(Resources(8_000, 2_048, 8))`` is true.
    """

    millicores: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Returns the difference, where no component is less than zero."""
        return Resources(
            max(0, self.millicores - other.millicores),
            max(0, self.memory_mb - other.memory_mb),
            max(0, self.accelerators - other.accelerators),
        )

    def times(self, count: int) -> Resources:
        """Returns the resources of ``count`` identical tasks."""
        return Resources(self.millicores * count, self.memory_mb * count, self.accelerators * count)

    @property
    def millicore_equivalents(self) -> int:
        """Total in millicores, with accelerators converted to millicores."""
        return self.millicores + MILLICORES_PER_ACCELERATOR * self.accelerators

    def fits_in(self, capacity: Resources) -> bool:
        """Returns whether ``capacity`` is at least this amount in every component."""
        return (
            self.millicores <= capacity.millicores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def count_fitting(self, capacity: Resources) -> int:
        """Returns how many tasks of this size fit in ``capacity``.

        Returns ``MAX_COPIES_PER_WORKER`` for a task without needs, which always fits.
        """
        limits = [
            available // required
            for available, required in (
                (capacity.millicores, self.millicores),
                (capacity.memory_mb, self.memory_mb),
                (capacity.accelerators, self.accelerators),
            )
            if required
        ]
        return min(limits, default=MAX_COPIES_PER_WORKER)


MAX_COPIES_PER_WORKER = 10_000
"""Maximum number of tasks without needs that are placed on one worker at a time."""

NO_RESOURCES = Resources()
