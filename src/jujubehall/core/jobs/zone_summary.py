"""Summaries of availability zones that their owners publish under ``state/zones/``."""

from __future__ import annotations

import msgspec

from jujubehall.identifiers import Epoch
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

ZONE_SUMMARY_PREFIX = "state/zones/"


class RackSummary(msgspec.Struct, frozen=True):
    """A rack's accelerators and workers.

    ``accelerators`` excludes the older scheduler's share. ``free`` counts the free accelerators of
    usable workers. ``accelerators_per_worker`` is that of the largest worker.
    """

    rack: RackName
    accelerators: int
    free: int
    workers: int
    accelerators_per_worker: int


class TeamUsage(msgspec.Struct, frozen=True):
    """A team's accelerators in a zone.

    ``borrowed`` is the share of ``in_use`` beyond the guarantee. ``reclaimable`` is the share of
    the guarantee that the team could obtain immediately or by preempting borrowed work.
    """

    team: TeamName
    guaranteed: int
    in_use: int
    borrowed: int
    reclaimable: int


class WorkerSummary(msgspec.Struct, frozen=True):
    """A worker's accelerators and its state.

    ``foreign`` counts the accelerators left to the older scheduler. ``state`` is one of usable,
    leaving, unreachable and quarantined.
    """

    worker: WorkerName
    rack: RackName
    accelerators: int
    free: int
    foreign: int
    state: str


class ZoneSummary(msgspec.Struct, frozen=True):
    """The state of an availability zone as last published by its owner."""

    zone: ZoneName
    epoch: Epoch
    racks: tuple[RackSummary, ...] = ()
    teams: tuple[TeamUsage, ...] = ()
    workers: tuple[WorkerSummary, ...] = ()
    queued_jobs: int = 0
    running_jobs: int = 0


def zone_summary_key(zone: ZoneName) -> str:
    """Returns the key of a zone's summary."""
    return ZONE_SUMMARY_PREFIX + zone
