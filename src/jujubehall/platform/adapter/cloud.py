"""The platform's cloud, which runs the machines below the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.upkeep.wave import Machine
from jujubehall.core.upkeep.wave import MachineState
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WorkerName
from jujubehall.platform.adapter import wire
from jujubehall.platform.site_machines import UpkeepRefusal

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.http.client import Response
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import WaveNumber

PEER = "cloud"
CALL_TIMEOUT_MS = 2_000
"""A slow cloud answers within some 250 ms; an order that got no answer is repeated."""

_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.IN_UPKEEP,
    "down": MachineState.DOWN,
}
_REFUSALS = {
    "fence": UpkeepRefusal.FENCED,
    "busy": UpkeepRefusal.BUSY,
    "wave": UpkeepRefusal.NOT_IN_WAVE,
}


class CloudClient:
    """Implements ``SiteMachines``."""

    def __init__(self, reactor: Reactor, address: str) -> None:
        self._http = HttpClient(reactor, PEER)
        self._base = f"http://{address}"

    async def list_machines(self) -> Result[list[Machine], Failure]:
        """Lists all machines, page after page."""
        machines: list[Machine] = []
        token = ""
        while True:
            query = "?" + urlencode({"pageToken": token}) if token else ""
            url = f"{self._base}/machines{query}"
            answer = await self._http.call("list", "GET", url, timeout_ms=CALL_TIMEOUT_MS)
            if isinstance(answer, Err):
                return answer
            if answer.ok_value.status != 200:
                return Err(_failure("list", answer.ok_value))
            try:
                page = answer.ok_value.decode(wire.Machines)
            except msgspec.DecodeError as error:
                return Err(Failure(FailureKind.INVALID, "list", PEER, str(error)))
            machines += [_to_machine(entry) for entry in page.machines]
            token = page.next_token or ""
            if not token:
                return Ok(machines)

    async def begin_upkeep(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, UpkeepRefusal | Failure]:
        """Takes a machine down for its upkeep."""
        answer = await self._http.call(
            "begin upkeep",
            "POST",
            f"{self._base}/machine-upkeep",
            wire.MachineUpkeep(machine, wave),
            timeout_ms=CALL_TIMEOUT_MS,
            extra_headers={"Duty-Holder": holder, "Fencing-Token": str(token)},
        )
        if isinstance(answer, Err):
            return answer
        response = answer.ok_value
        if response.status // 100 == 2:
            return Ok(None)
        if response.status == 400:
            return Err(UpkeepRefusal.NO_SUCH_MACHINE)
        if response.status == 409:
            try:
                reason = response.decode(wire.OrderRefused).reason
            except msgspec.DecodeError:
                reason = ""
            if reason in _REFUSALS:
                return Err(_REFUSALS[reason])
        return Err(_failure("begin upkeep", response))


def _to_machine(entry: wire.MachineEntry) -> Machine:
    # A state that is not known counts as down: the machine is left alone.
    state = _STATES.get(entry.state, MachineState.DOWN)
    return Machine(
        MachineName(entry.machine), state, WorkerName(entry.worker) if entry.worker else None
    )


def _failure(step: str, response: Response) -> Failure:
    kind = FailureKind.UNAVAILABLE if response.status in (429, 503) else FailureKind.NO_ANSWER
    return Failure(kind, step, PEER, f"status {response.status}")
