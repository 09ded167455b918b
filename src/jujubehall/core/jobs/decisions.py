"""Decisions of the scheduling policy, carried out by the owner of the zone in this order."""

from __future__ import annotations

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.identifiers import JobId


class Place(msgspec.Struct, frozen=True):
    """Reserve and start all parts of a queued job."""

    job: JobId
    placement: tuple[PartPlacement, ...]


class Preempt(msgspec.Struct, frozen=True):
    """Checkpoint and stop a running job and queue it again, in favour of another.

    ``at_once`` means that the beneficiary is urgent: the job is stopped without waiting for a
    checkpoint that would delay the urgent start beyond its bound.
    """

    job: JobId
    beneficiary: JobId
    reason: str
    at_once: bool = False


class Move(msgspec.Struct, frozen=True):
    """Checkpoint and stop a running job and start it again elsewhere, to free adjacent space."""

    job: JobId
    placement: tuple[PartPlacement, ...]
    reason: str


class Refuse(msgspec.Struct, frozen=True):
    """End a queued job that can never run, with the reason."""

    job: JobId
    reason: str


Decision = Place | Preempt | Move | Refuse
