"""Snapshot of one availability zone, the input of the scheduling policy."""

from __future__ import annotations

import msgspec

from jujubehall.core.configuration.document import Shape
from jujubehall.core.jobs.job import JobRecord
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.workers.messages import Resources


class WorkerView(msgspec.Struct, frozen=True):
    """A worker as known to the zone owner.

    ``held`` is the resources occupied by jujubehall's own tasks and reservations, ``foreign`` the
    resources that must be left to the older scheduler. A worker that is not ``usable`` gets no new
    parts because it is leaving, unreachable or quarantined.
    """

    name: WorkerName
    rack: RackName
    capacity: Resources
    held: Resources
    foreign: Resources
    usable: bool = True


class JobView(msgspec.Struct, frozen=True):
    """A queued or running job; times are in milliseconds on the owner's monotonic clock.

    ``lost_with_checkpoint_ms`` is the run time that would be lost by stopping the job after a
    checkpoint, ``lost_without_checkpoint_ms`` by stopping it without one. The latter defaults to
    the whole run time since the start.
    """

    record: JobRecord
    queued_since_ms: int
    started_at_ms: int = 0
    lost_with_checkpoint_ms: int = 0
    lost_without_checkpoint_ms: int | None = None


class TeamView(msgspec.Struct, frozen=True):
    """A team's guaranteed blocks and its accelerator quota in this zone."""

    name: TeamName
    guarantee: Shape | None = None
    accelerator_quota: int | None = None


class ZoneView(msgspec.Struct, frozen=True):
    """The complete input of one scheduling round.

    ``running`` holds every job that occupies resources: reserving, running and stopping ones.
    ``all_workers_known`` says whether the resources of all workers of the zone are known; until
    then no job is rejected as infeasible. ``fragmentation_weight`` is 0 to optimise for completion
    time only and 1 to optimise for low fragmentation only.
    """

    zone: ZoneName
    now_ms: int
    workers: tuple[WorkerView, ...]
    queued: tuple[JobView, ...]
    running: tuple[JobView, ...]
    teams: tuple[TeamView, ...]
    fragmentation_weight: float
    all_workers_known: bool = True
