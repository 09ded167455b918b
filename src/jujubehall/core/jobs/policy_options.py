"""Parts of the policy that the measurements switch off one by one."""

from __future__ import annotations

import msgspec


class PolicyOptions(msgspec.Struct, frozen=True):
    """The daemons use the defaults; ``benchmarks/jobs.py`` compares them with the others."""

    learns: bool = True
    """Use learned run times in place of declared ones."""

    reservations: int = 1
    """How many waiting gangs have space reserved."""

    orders_queue: bool = True
    """Order borrowed work by slowdown and size, rather than first come first served."""

    patience: bool = True
    """Reserve space only for gangs that have waited long."""

    moves: bool = True
    """Move running jobs aside for a waiting gang where it pays."""
