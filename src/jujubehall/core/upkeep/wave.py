"""What the operators ask for, what is known of machines, and what is kept of a wave's progress."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WaveNumber
from jujubehall.identifiers import WorkerName


class Wave(msgspec.Struct, frozen=True):
    """Each of the machines is to have its upkeep within ``duration_ms``."""

    number: WaveNumber
    machines: tuple[MachineName, ...]
    duration_ms: Annotated[int, msgspec.Meta(ge=0)]
    most_down: Annotated[int, msgspec.Meta(ge=1)]
    """At most this many of the machines may be down for this upkeep at once."""


class MachineState(Enum):
    """What the cloud says of a machine."""

    UP = "up"
    MOVING = "moving"
    """On its way to another pool."""

    IN_UPKEEP = "in-upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine as the cloud lists it."""

    name: MachineName
    state: MachineState
    worker: WorkerName | None
    """The worker that is the machine's present life."""


class BegunUpkeep(msgspec.Struct, frozen=True, omit_defaults=True):
    """An upkeep whose order may have been carried out."""

    machine: MachineName
    worker: WorkerName | None
    """The worker that ended by it."""

    life: int = 0
    """Which life of that worker; it may come back under the same name."""

    is_confirmed: bool = False


class WaveProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """What is kept of a wave in the store."""

    first_seen_unix_ms: int
    begun: tuple[BegunUpkeep, ...] = ()
    is_done: bool = False
