"""What the policy remembers from one round to the next.

All of it may be lost with its owner: a new owner finds guaranteed work again from what runs, and
packs the floating blocks anew.
"""

from __future__ import annotations

import msgspec

from jujubehall.core.jobs.estimates import RunTimeEstimates
from jujubehall.core.jobs.feasibility import Feasibility
from jujubehall.core.jobs.guaranteed_blocks import FloatingBlock
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.identifiers import JobId

CLAIM_TIMEOUT_MS = 60_000
"""A claim whose victims have not stopped by then is planned anew."""

GUARANTEE_MEMORY_MS = 60_000
"""A guaranteed job may be missing from the view for so long after it was placed."""


class Claim(msgspec.Struct, frozen=True):
    """Space kept for a job until the jobs preempted or moved for it have stopped.

    A job that is itself moved has a claim on its new place until it has left its old one.
    """

    placement: tuple[PartPlacement, ...]
    since_ms: int
    victims: frozenset[JobId]
    guaranteed: bool


class PolicyMemory(msgspec.Struct):
    """The policy's memory; ``guaranteed`` and ``moved`` hold the time of the last decision."""

    estimates: RunTimeEstimates = msgspec.field(default_factory=RunTimeEstimates)
    feasibility: Feasibility = msgspec.field(default_factory=Feasibility)
    guaranteed: dict[JobId, int] = msgspec.field(default_factory=dict)
    moved: dict[JobId, int] = msgspec.field(default_factory=dict)
    claims: dict[JobId, Claim] = msgspec.field(default_factory=dict)
    floating: tuple[FloatingBlock, ...] = ()
