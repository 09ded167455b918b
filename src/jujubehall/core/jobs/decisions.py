"""Decisions of the scheduling policy; the zone owner carries them out in the returned order."""

from __future__ import annotations

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.identifiers import JobId


class Place(msgspec.Struct, frozen=True):
    """Reserve workers for all parts of a queued job and start them."""

    job: JobId
    placement: tuple[PartPlacement, ...]


class Preempt(msgspec.Struct, frozen=True):
    """Checkpoint and stop a running job and requeue it to free capacity for ``beneficiary``.

    ``immediate`` is set if the beneficiary is urgent: the job is stopped without a checkpoint,
    since waiting for one would exceed the limit on the start delay of urgent jobs.
    """

    job: JobId
    beneficiary: JobId
    reason: str
    immediate: bool = False


class Move(msgspec.Struct, frozen=True):
    """Checkpoint and stop a running job and restart it with ``placement``.

    Moves defragment the zone: they free adjacent capacity for a waiting gang.
    """

    job: JobId
    placement: tuple[PartPlacement, ...]
    reason: str


class Reject(msgspec.Struct, frozen=True):
    """Reject a queued job that can never run in the zone, with the reason."""

    job: JobId
    reason: str


Decision = Place | Preempt | Move | Reject
