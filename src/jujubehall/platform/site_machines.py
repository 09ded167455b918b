"""The machines below the workers and the operators' waves of upkeep, as the services see them.

Implemented by ``platform.adapter`` for the operators' platform, and by fakes in tests.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.upkeep.wave import Machine
    from jujubehall.core.upkeep.wave import Wave
    from jujubehall.errors import Failure
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import MachineName
    from jujubehall.identifiers import WaveNumber
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import Write


class UpkeepRefusal(Enum):
    """Why the cloud refuses to begin an upkeep; nothing was done."""

    FENCED = "fenced"
    """It has seen a higher fencing token for the machine."""

    BUSY = "busy"
    """The machine is not up, or is leaving."""

    NOT_IN_WAVE = "not-in-wave"
    NO_SUCH_MACHINE = "no-such-machine"


class Waves(NamedTuple):
    """Waves that the operators have written, complete up to ``revision``."""

    waves: list[Wave]
    revision: Revision


class SiteWaves(Protocol):
    """What the operators ask for, in the store, and what they are told."""

    async def list_waves(self) -> Result[Waves, Failure]:
        """Reads all waves."""

    async def wait_for_waves(self, after: Revision, wait_ms: int) -> Result[Waves, Failure]:
        """Waits for waves written later than ``after``."""

    def status_write(self, wave: WaveNumber, is_done: bool) -> Write:
        """What tells the operators how far a wave is."""


class SiteMachines(Protocol):
    """The cloud that runs the machines."""

    async def list_machines(self) -> Result[list[Machine], Failure]:
        """Lists all machines."""

    async def begin_upkeep(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, UpkeepRefusal | Failure]:
        """Takes a machine down, which ends all that runs there; done again, it does nothing.

        A failure may have been carried out, or may be seconds later.
        """
