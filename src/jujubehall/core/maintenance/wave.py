"""Maintenance waves as ordered by the operators, the cloud's machines, and stored wave progress."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WaveNumber
from jujubehall.identifiers import WorkerName


class Wave(msgspec.Struct, frozen=True):
    """An order to perform maintenance on each of ``machines`` within ``duration_ms``."""

    number: WaveNumber
    machines: tuple[MachineName, ...]
    duration_ms: Annotated[int, msgspec.Meta(ge=0)]
    max_machines_down: Annotated[int, msgspec.Meta(ge=1)]
    """Maximum number of the machines that may be down for this maintenance at the same time."""


class MachineState(Enum):
    """The state of a machine as reported by the cloud."""

    UP = "up"
    MOVING = "moving"
    """Being moved to another pool."""

    IN_MAINTENANCE = "in-upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine as listed by the cloud."""

    name: MachineName
    state: MachineState
    worker: WorkerName | None
    """The worker that currently runs on the machine."""


class OrderedMaintenance(msgspec.Struct, frozen=True, omit_defaults=True):
    """The maintenance of a machine that has been ordered from the cloud.

    Until ``is_confirmed`` is set it is unknown whether the order was carried out.
    """

    machine: MachineName
    worker: WorkerName | None
    """The worker that ran on the machine when its maintenance was ordered."""

    incarnation: int = msgspec.field(default=0, name="life")
    """Start of that worker in Unix milliseconds, 0 if unknown.

    It tells the worker from a later one of the same name.
    """

    is_confirmed: bool = False


class WaveProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """The progress of a wave as written to the store."""

    first_seen_unix_ms: int
    begun: tuple[OrderedMaintenance, ...] = ()
    is_done: bool = False
