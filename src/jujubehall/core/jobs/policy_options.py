"""Switches for parts of the policy, so that benchmarks can measure their effects separately."""

from __future__ import annotations

import msgspec


class PolicyOptions(msgspec.Struct, frozen=True):
    """Options of the policy.

    The daemons use the defaults; ``benchmarks/jobs.py`` compares them with other settings.
    """

    learns: bool = True
    """Estimate run times from finished jobs instead of using the declared ones."""

    reservations: int = 1
    """Maximum number of waiting gangs for which capacity is reserved."""

    orders_queue: bool = True
    """Order borrowed work by slowdown and size instead of first come, first served."""

    patience: bool = True
    """Reserve capacity only for gangs that have waited for a long time."""

    moves: bool = True
    """Move running jobs to free adjacent capacity for a waiting gang if the benefit is worth it."""
