"""Client of the platform's cloud API, which manages the machines that host the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.maintenance.wave import Machine
from jujubehall.core.maintenance.wave import MachineState
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WorkerName
from jujubehall.platform.adapter import wire
from jujubehall.platform.site_machines import MaintenanceRefusal

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.http.client import ClientResponse
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import WaveNumber

PEER = "cloud"
CALL_TIMEOUT_MS = 2_000
"""A slow cloud responds within about 250 ms; a request without a response is repeated."""

_MACHINE_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.IN_MAINTENANCE,
    "down": MachineState.DOWN,
}
_REFUSAL_BY_REASON = {
    "fence": MaintenanceRefusal.FENCED,
    "busy": MaintenanceRefusal.BUSY,
    "wave": MaintenanceRefusal.NOT_IN_WAVE,
}


class CloudClient:
    """Implements ``SiteMachines`` over HTTP."""

    def __init__(self, reactor: Reactor, address: str) -> None:
        self._http = HttpClient(reactor, PEER)
        self._base = f"http://{address}"

    async def list_machines(self) -> Result[list[Machine], Failure]:
        """Lists all machines, following the pagination."""
        machines: list[Machine] = []
        page_token = ""
        while True:
            query = "?" + urlencode({"pageToken": page_token}) if page_token else ""
            url = f"{self._base}/machines{query}"
            result = await self._http.call("list", "GET", url, timeout_ms=CALL_TIMEOUT_MS)
            if isinstance(result, Err):
                return result
            if result.ok_value.status != 200:
                return Err(_to_failure("list", result.ok_value))
            try:
                page = result.ok_value.decode(wire.MachinePage)
            except msgspec.DecodeError as error:
                return Err(Failure(FailureKind.INVALID, "list", PEER, str(error)))
            machines += [_to_machine(entry) for entry in page.machines]
            page_token = page.next_token or ""
            if not page_token:
                return Ok(machines)

    async def begin_maintenance(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, MaintenanceRefusal | Failure]:
        """Takes a machine down for maintenance, unless the cloud refuses to."""
        result = await self._http.call(
            "begin upkeep",
            "POST",
            f"{self._base}/machine-upkeep",
            wire.MachineUpkeep(machine, wave),
            timeout_ms=CALL_TIMEOUT_MS,
            extra_headers={"Duty-Holder": holder, "Fencing-Token": str(token)},
        )
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status // 100 == 2:
            return Ok(None)
        if response.status == 400:
            return Err(MaintenanceRefusal.NO_SUCH_MACHINE)
        if response.status == 409:
            try:
                reason = response.decode(wire.RefusalBody).reason
            except msgspec.DecodeError:
                reason = ""
            if reason in _REFUSAL_BY_REASON:
                return Err(_REFUSAL_BY_REASON[reason])
        return Err(_to_failure("begin upkeep", response))


def _to_machine(entry: wire.MachineEntry) -> Machine:
    # An unknown state maps to DOWN, so that nothing is done to the machine.
    state = _MACHINE_STATES.get(entry.state, MachineState.DOWN)
    return Machine(
        MachineName(entry.machine), state, WorkerName(entry.worker) if entry.worker else None
    )


def _to_failure(step: str, response: ClientResponse) -> Failure:
    kind = FailureKind.UNAVAILABLE if response.status in (429, 503) else FailureKind.NO_ANSWER
    return Failure(kind, step, PEER, f"status {response.status}")
