"""Switches for parts of the policy, so that benchmarks can measure their effects separately."""

from __future__ import annotations

import msgspec


class PolicyOptions(msgspec.Struct, frozen=True):
    """Options of the policy.

    The daemons use the defaults; ``benchmarks/jobs.py`` compares them with other settings.
    """

    use_learned_run_times: bool = True
    """Estimate run times from finished jobs instead of using the declared ones."""

    max_reservations: int = 1
    """Maximum number of waiting gangs for which capacity is reserved."""

    use_priority_order: bool = True
    """Order borrowed work by slowdown and size instead of first come, first served."""

    delay_reservations: bool = True
    """Reserve capacity only for gangs that have waited for a long time."""

    move_jobs: bool = True
    """Move running jobs to free adjacent capacity for a waiting gang if the benefit is worth it."""
