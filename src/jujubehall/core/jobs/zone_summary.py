"""What the owner of an availability zone publishes about it, under ``state/zones/``."""

from __future__ import annotations

import msgspec

from jujubehall.identifiers import Epoch
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

ZONE_SUMMARY_PREFIX = "state/zones/"


class RackSummary(msgspec.Struct, frozen=True):
    """A rack's accelerators: all of them, those free, and the largest free block on workers."""

    rack: RackName
    accelerators: int
    free: int
    workers: int
    accelerators_per_worker: int


class TeamUse(msgspec.Struct, frozen=True):
    """A team's accelerators in a zone.

    ``borrowed`` is the part of ``in_use`` beyond the guarantee; ``reclaimable`` is how much of
    the guarantee the team could take at once or by preemption.
    """

    team: TeamName
    guaranteed: int
    in_use: int
    borrowed: int
    reclaimable: int


class WorkerSummary(msgspec.Struct, frozen=True):
    """A worker's state: ``state`` is one of usable, leaving, unreachable, quarantined."""

    worker: WorkerName
    rack: RackName
    accelerators: int
    free: int
    foreign: int
    state: str


class ZoneSummary(msgspec.Struct, frozen=True):
    """An availability zone as of its owner's last publication."""

    zone: ZoneName
    epoch: Epoch
    racks: tuple[RackSummary, ...] = ()
    teams: tuple[TeamUse, ...] = ()
    workers: tuple[WorkerSummary, ...] = ()
    queued_jobs: int = 0
    running_jobs: int = 0


def zone_summary_key(zone: ZoneName) -> str:
    """The key of a zone's summary."""
    return ZONE_SUMMARY_PREFIX + zone
