"""Sends commands to the workers of one availability zone and tracks their state."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from result import Err
from result import Ok

from jujubehall.core.jobs.gang_timing import PART_UNSEEN_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import RENEWAL_INTERVAL_MS
from jujubehall.core.jobs.gang_timing import RESEND_INTERVAL_MS
from jujubehall.core.jobs.gang_timing import TASK_LEASE_MS
from jujubehall.errors import FailureKind
from jujubehall.identifiers import WorkerName
from jujubehall.platform.host import Host
from jujubehall.platform.host import HostState
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.workers.messages import Checkpoint
from jujubehall.workers.messages import Fence
from jujubehall.workers.messages import Inventory
from jujubehall.workers.messages import Renew
from jujubehall.workers.messages import Reserve
from jujubehall.workers.messages import StartTask
from jujubehall.workers.messages import StopTask
from jujubehall.workers.refusals import is_fenced
from jujubehall.workers.refusals import is_no_room

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.identifiers import Epoch
    from jujubehall.workers.interface import Workers
    from jujubehall.workers.messages import TaskKey

INITIAL_NO_ROOM_BACK_OFF_MS = 5_000
MAX_NO_ROOM_BACK_OFF_MS = 60_000

Command = Fence | Reserve | StartTask | Renew | Checkpoint | StopTask
_COMMAND_STEPS = {
    Fence: "fence",
    Reserve: "reserve",
    StartTask: "start",
    Renew: "renew",
    Checkpoint: "checkpoint",
    StopTask: "stop",
}


class WorkerStatus(msgspec.Struct):
    """The state of a listed worker as of its latest responses.

    ``inventory`` is the response to the command with number ``sequence``.
    ``acknowledged_command_sent_at_ms`` is the send time of the latest command to which the
    worker responded with its inventory.
    ``is_suspect`` is set if the command that completed last got no response. Until
    ``no_room_until_ms`` the worker gets no new parts, because it rejected a reservation for lack of
    room although its reported use left enough.
    """

    host: Host
    inventory: Inventory | None = None
    sequence: int = 0
    acknowledged_command_sent_at_ms: int = 0
    is_suspect: bool = False
    no_room_until_ms: int = 0
    no_room_back_off_ms: int = INITIAL_NO_ROOM_BACK_OFF_MS

    @property
    def name(self) -> WorkerName:
        """Name of the worker."""
        return WorkerName(self.host.name)

    def is_reachable(self, now_ms: int) -> bool:
        """Returns whether a command sent within ``PART_UNSEEN_TIMEOUT_MS`` was acknowledged."""
        return (
            self.inventory is not None
            and now_ms - self.acknowledged_command_sent_at_ms <= PART_UNSEEN_TIMEOUT_MS
        )

    def is_usable(self, now_ms: int) -> bool:
        """Returns whether the worker's responses and its listed state allow new parts on it."""
        is_live = self.host.state is HostState.LIVE and not self.is_suspect
        return is_live and self.is_reachable(now_ms) and self.no_room_until_ms <= now_ms

    def record_no_room(self, now_ms: int) -> None:
        """Excludes the worker from new parts for the back-off time, which doubles each time."""
        self.no_room_until_ms = now_ms + self.no_room_back_off_ms
        self.no_room_back_off_ms = min(2 * self.no_room_back_off_ms, MAX_NO_ROOM_BACK_OFF_MS)

    def reset_no_room_back_off(self) -> None:
        """Resets the back-off time after the worker has granted a reservation."""
        self.no_room_back_off_ms = INITIAL_NO_ROOM_BACK_OFF_MS


class WorkerResponse(msgspec.Struct, frozen=True):
    """A worker's response to the command with number ``sequence``.

    ``latest_sequence`` is the number of the last command that was sent before the response arrived.
    """

    inventory: Inventory
    sent_at_ms: int
    sequence: int
    latest_sequence: int


class ZoneWorkersListener(Protocol):
    """Interface through which ``ZoneWorkers`` notifies and queries the zone owner."""

    def renewable_keys(self, worker: WorkerName) -> tuple[TaskKey, ...]:
        """Returns the keys of the tasks on a worker whose leases may be renewed now."""

    def on_response(self, worker: WorkerName, response: WorkerResponse) -> None:
        """Handles the response of a worker to a command."""

    def on_fenced(self) -> None:
        """Handles a command that a worker rejected because of a later owner's epoch."""


class ZoneWorkers:
    """Sends commands to a zone's workers and renews the leases of their tasks.

    Each worker has its own renewal loop, so that a slow worker doesn't delay the others.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        workers: Workers,
        epoch: Epoch,
        listener: ZoneWorkersListener,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._workers = workers
        self._epoch = epoch
        self._listener = listener
        self._statuses: dict[WorkerName, WorkerStatus] = {}
        self._sequence = 0
        self._running = True
        self.commands: Counter[str] = Counter()
        """Number of commands sent, by step."""

    @property
    def statuses(self) -> list[WorkerStatus]:
        """Statuses of the tracked workers of the zone."""
        return list(self._statuses.values())

    def status(self, worker: WorkerName) -> WorkerStatus | None:
        """Returns the status of a worker, or None if it isn't tracked."""
        return self._statuses.get(worker)

    def stop(self) -> None:
        """Stops sending commands."""
        self._running = False

    def update(self, hosts: Iterable[Host]) -> None:
        """Applies the platform's current list of the zone's workers.

        Starts the renewal loop of each new worker.
        """
        listed = {WorkerName(host.name): host for host in hosts}
        for name in [name for name in self._statuses if name not in listed]:
            # A worker that still responds stays tracked and its leases are renewed, because the
            # host list may lag behind.
            if not self._statuses[name].is_reachable(self._clock.now_ms):
                del self._statuses[name]
        for name, host in listed.items():
            if name in self._statuses:
                self._statuses[name].host = host
            else:
                self._statuses[name] = WorkerStatus(host)
                run_in_background(self._renew_leases(self._statuses[name]))

    async def send(self, worker: WorkerName, command: Command) -> Result[Inventory, Failure] | None:
        """Sends a command to a worker and returns its inventory or the failure.

        Returns None if the worker isn't tracked or this owner has stopped.
        """
        status = self._statuses.get(worker)
        if status is None or not self._running:
            return None
        self._sequence += 1
        sequence = self._sequence
        sent_at_ms = self._clock.now_ms
        step = _COMMAND_STEPS[type(command)]
        self.commands[step] += 1
        result: Result[Inventory, Failure]
        result = await getattr(self._workers, step)(status.host.address, command)
        if not self._running:
            return None
        status.is_suspect = isinstance(result, Err) and _is_without_response(result.err_value)
        if isinstance(result, Ok):
            self._record_response(status, result.ok_value, sequence, sent_at_ms)
        elif is_fenced(result.err_value):
            self._listener.on_fenced()
        elif is_no_room(result.err_value):
            status.record_no_room(self._clock.now_ms)
        return result

    def _record_response(
        self, status: WorkerStatus, inventory: Inventory, sequence: int, sent_at_ms: int
    ) -> None:
        status.acknowledged_command_sent_at_ms = max(
            status.acknowledged_command_sent_at_ms, sent_at_ms
        )
        if sequence > status.sequence:
            status.inventory = inventory
            status.sequence = sequence
        response = WorkerResponse(inventory, sent_at_ms, sequence, self._sequence)
        self._listener.on_response(status.name, response)

    async def _renew_leases(self, status: WorkerStatus) -> None:
        while self._running and self._statuses.get(status.name) is status:
            sent_at_ms = self._clock.now_ms
            result = await self.send(status.name, self._make_renewal(status))
            interval_ms = RENEWAL_INTERVAL_MS
            if isinstance(result, Err) and self._clock.now_ms - sent_at_ms < RENEWAL_INTERVAL_MS:
                interval_ms = RESEND_INTERVAL_MS
            wait_ms = sent_at_ms + interval_ms - self._clock.now_ms
            await sleep(self._reactor, max(0, wait_ms))

    def _make_renewal(self, status: WorkerStatus) -> Fence | Renew:
        if status.inventory is None:
            return Fence(self._epoch)
        return Renew(self._epoch, self._listener.renewable_keys(status.name), TASK_LEASE_MS)


def _is_without_response(failure: Failure) -> bool:
    return failure.kind in (FailureKind.NO_ANSWER, FailureKind.NOT_SENT)
