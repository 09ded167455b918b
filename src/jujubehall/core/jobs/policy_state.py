"""State that the policy keeps between rounds.

It is not persisted and is lost when the zone changes its owner: a new owner derives the guaranteed
work from the running jobs and repacks the unallocated blocks.
"""

from __future__ import annotations

import msgspec

from jujubehall.core.jobs.estimates import RunTimeEstimates
from jujubehall.core.jobs.feasibility import FeasibilityCache
from jujubehall.core.jobs.guaranteed_blocks import UnallocatedBlock
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.identifiers import JobId

PENDING_PLACEMENT_TIMEOUT_MS = 60_000
"""A pending placement is removed and planned again if its victims haven't stopped by then."""

GUARANTEE_RETENTION_MS = 60_000
"""How long a placed guaranteed job may be missing from the view before its guarantee is removed."""


class PendingPlacement(msgspec.Struct, frozen=True):
    """Capacity held for a job until the jobs preempted or moved for it have stopped.

    A job that is being moved itself also has a pending placement on its new workers, until it has
    left its old ones.
    """

    placement: tuple[PartPlacement, ...]
    since_ms: int
    victims: frozenset[JobId]
    guaranteed: bool


class PolicyState(msgspec.Struct):
    """State kept between rounds.

    ``guaranteed_at_ms`` and ``moved_at_ms`` map jobs to the time of the last round that treated
    them as guaranteed work or moved them. ``unallocated`` are the guaranteed blocks in which no
    guaranteed jobs ran after the last round.
    """

    estimates: RunTimeEstimates = msgspec.field(default_factory=RunTimeEstimates)
    feasibility: FeasibilityCache = msgspec.field(default_factory=FeasibilityCache)
    guaranteed_at_ms: dict[JobId, int] = msgspec.field(default_factory=dict)
    moved_at_ms: dict[JobId, int] = msgspec.field(default_factory=dict)
    pending_placements: dict[JobId, PendingPlacement] = msgspec.field(default_factory=dict)
    unallocated: tuple[UnallocatedBlock, ...] = ()
