"""Interfaces to the machines that host the workers and to the operators' maintenance waves.

``platform.adapter`` implements them for the operators' platform; tests use fakes.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.maintenance.wave import Machine
    from jujubehall.core.maintenance.wave import Wave
    from jujubehall.errors import Failure
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import MachineName
    from jujubehall.identifiers import WaveNumber
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import Write


class MaintenanceRefusal(Enum):
    """Reason why the cloud refused to begin maintenance; the machine is unchanged."""

    FENCED = "fenced"
    """The cloud has seen a higher fencing token for the machine."""

    BUSY = "busy"
    """The machine is not up or is about to leave."""

    NOT_IN_WAVE = "not-in-wave"
    NO_SUCH_MACHINE = "no-such-machine"


class Waves(NamedTuple):
    """Waves that the operators have written, complete up to store revision ``revision``."""

    waves: list[Wave]
    revision: Revision


class SiteWaves(Protocol):
    """Maintenance waves that the operators request in the store, and their reported status."""

    async def list_waves(self) -> Result[Waves, Failure]:
        """Reads all decodable waves."""

    async def wait_for_waves(self, after: Revision, wait_ms: int) -> Result[Waves, Failure]:
        """Waits for waves written after revision ``after``, at most ``wait_ms``."""

    def build_status_write(self, wave: WaveNumber, is_done: bool) -> Write:
        """Returns the write that reports the status of a wave to the operators."""


class SiteMachines(Protocol):
    """The cloud API that manages the machines."""

    async def list_machines(self) -> Result[list[Machine], Failure]:
        """Lists all machines."""

    async def begin_maintenance(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, MaintenanceRefusal | Failure]:
        """Takes a machine down for maintenance, which ends all runs on it; idempotent.

        After a failure, the request may have taken effect or may do so seconds later.
        """
