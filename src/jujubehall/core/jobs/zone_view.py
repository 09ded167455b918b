"""What the scheduling policy sees of one availability zone at one moment."""

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
    """A worker as its owner knows it.

    ``held`` counts what our own tasks and reservations take, ``foreign`` what must be left to the
    older scheduler. A worker that is not ``usable`` gets no new parts: it is leaving,
    unreachable or quarantined.
    """

    name: WorkerName
    rack: RackName
    capacity: Resources
    held: Resources
    foreign: Resources
    usable: bool = True


class JobView(msgspec.Struct, frozen=True):
    """A queued or running job; all times are on the owner's monotonic clock, in milliseconds.

    ``lost_on_stop_ms`` is the work that would be lost if it were stopped after a checkpoint, and
    ``lost_at_once_ms`` without one; if that is None, all work since the start.
    """

    record: JobRecord
    queued_since_ms: int
    started_at_ms: int = 0
    lost_on_stop_ms: int = 0
    lost_at_once_ms: int | None = None


class TeamView(msgspec.Struct, frozen=True):
    """A team's guaranteed blocks in this zone and its limit of accelerators in it."""

    name: TeamName
    guarantee: Shape | None = None
    accelerator_quota: int | None = None


class ZoneView(msgspec.Struct, frozen=True):
    """The whole input of one round of decisions.

    ``running`` holds every job that takes resources: reserving, running and stopping ones.
    ``complete`` says whether all workers of the zone are in the view; until then no job is
    refused as impossible.

    ``fragmentation_weight`` is 0 if only completion time counts, 1 if only fragmentation does.
    """

    zone: ZoneName
    now_ms: int
    workers: tuple[WorkerView, ...]
    queued: tuple[JobView, ...]
    running: tuple[JobView, ...]
    teams: tuple[TeamView, ...]
    fragmentation_weight: float
    complete: bool = True
