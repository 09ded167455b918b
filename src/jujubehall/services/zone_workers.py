"""The workers of one availability zone as its owner commands and knows them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from result import Err
from result import Ok

from jujubehall.core.jobs.gang_timing import RENEWAL_INTERVAL_MS
from jujubehall.core.jobs.gang_timing import RESEND_INTERVAL_MS
from jujubehall.core.jobs.gang_timing import TASK_LEASE_MS
from jujubehall.core.jobs.gang_timing import UNSEEN_LIMIT_MS
from jujubehall.errors import FailureKind
from jujubehall.identifiers import WorkerName
from jujubehall.platform.host import Host
from jujubehall.platform.host import HostState
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start
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

FIRST_NO_ROOM_BACK_OFF_MS = 5_000
MAX_NO_ROOM_BACK_OFF_MS = 60_000

Command = Fence | Reserve | StartTask | Renew | Checkpoint | StopTask
_STEPS = {
    Fence: "fence",
    Reserve: "reserve",
    StartTask: "start",
    Renew: "renew",
    Checkpoint: "checkpoint",
    StopTask: "stop",
}


class WorkerContact(msgspec.Struct):
    """A listed worker and what its last answers said.

    ``inventory`` is the answer to the command numbered ``sequence``, sent at ``answered_at_ms``.
    ``is_suspect`` says that the last command to end was not answered. While ``no_room_until_ms`` lies ahead, the worker gets no new parts, because it refused one
    although its reported use left room.
    """

    host: Host
    inventory: Inventory | None = None
    sequence: int = 0
    answered_at_ms: int = 0
    is_suspect: bool = False
    no_room_until_ms: int = 0
    no_room_back_off_ms: int = FIRST_NO_ROOM_BACK_OFF_MS

    @property
    def name(self) -> WorkerName:
        """The worker's name."""
        return WorkerName(self.host.name)

    def is_reachable(self, now_ms: int) -> bool:
        """Whether the worker has answered this owner lately."""
        return self.inventory is not None and now_ms - self.answered_at_ms <= UNSEEN_LIMIT_MS

    def is_usable(self, now_ms: int) -> bool:
        """Whether the worker may get new parts, as far as its answers and the list tell."""
        is_live = self.host.state is HostState.LIVE and not self.is_suspect
        return is_live and self.is_reachable(now_ms) and self.no_room_until_ms <= now_ms

    def note_no_room(self, now_ms: int) -> None:
        """Leaves the worker alone for a while, longer each time."""
        self.no_room_until_ms = now_ms + self.no_room_back_off_ms
        self.no_room_back_off_ms = min(2 * self.no_room_back_off_ms, MAX_NO_ROOM_BACK_OFF_MS)

    def note_room(self) -> None:
        """Takes a granted reservation as the end of the shortage."""
        self.no_room_back_off_ms = FIRST_NO_ROOM_BACK_OFF_MS


class WorkerAnswer(msgspec.Struct, frozen=True):
    """The inventory with which a worker answered the command numbered ``sequence``.

    ``latest`` numbers the last command that was sent before the answer came.
    """

    inventory: Inventory
    sent_at_ms: int
    sequence: int
    latest: int


class ZoneWorkersListener(Protocol):
    """What the owner of a zone does with the answers of its workers."""

    def renewable(self, worker: WorkerName) -> tuple[TaskKey, ...]:
        """The keys whose leases on a worker may be renewed now."""

    def on_answer(self, worker: WorkerName, answer: WorkerAnswer) -> None:
        """A worker has answered."""

    def on_fenced(self) -> None:
        """A worker has seen a later owner."""


class ZoneWorkers:
    """Renews each worker's leases in a loop of its own, so that a slow one delays no other."""

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
        self._contacts: dict[WorkerName, WorkerContact] = {}
        self._sequence = 0
        self._running = True
        self.commands: Counter[str] = Counter()
        """Commands sent, by step."""

    @property
    def contacts(self) -> list[WorkerContact]:
        """The listed workers of the zone."""
        return list(self._contacts.values())

    def contact(self, worker: WorkerName) -> WorkerContact | None:
        """One worker, or None if it isn't listed."""
        return self._contacts.get(worker)

    def stop(self) -> None:
        """Sends no further command."""
        self._running = False

    def update(self, hosts: Iterable[Host]) -> None:
        """Takes in the platform's present list of the zone's workers."""
        listed = {WorkerName(host.name): host for host in hosts}
        for name in [name for name in self._contacts if name not in listed]:
            # Its lease loop goes on as long as it answers: the list lags.
            if not self._contacts[name].is_reachable(self._clock.now_ms):
                del self._contacts[name]
        for name, host in listed.items():
            if name in self._contacts:
                self._contacts[name].host = host
            else:
                self._contacts[name] = WorkerContact(host)
                start(self._follow(self._contacts[name]))

    async def send(self, worker: WorkerName, command: Command) -> Result[Inventory, Failure] | None:
        """Sends a command; None if the worker isn't listed or this owner has stopped."""
        contact = self._contacts.get(worker)
        if contact is None or not self._running:
            return None
        self._sequence += 1
        sequence = self._sequence
        sent_at_ms = self._clock.now_ms
        step = _STEPS[type(command)]
        self.commands[step] += 1
        answered: Result[Inventory, Failure]
        answered = await getattr(self._workers, step)(contact.host.address, command)
        if not self._running:
            return None
        contact.is_suspect = isinstance(answered, Err) and _is_unanswered(answered.err_value)
        if isinstance(answered, Ok):
            self._learn(contact, answered.ok_value, sequence, sent_at_ms)
        elif is_fenced(answered.err_value):
            self._listener.on_fenced()
        elif is_no_room(answered.err_value):
            contact.note_no_room(self._clock.now_ms)
        return answered

    def _learn(
        self, contact: WorkerContact, inventory: Inventory, sequence: int, sent_at_ms: int
    ) -> None:
        contact.answered_at_ms = max(contact.answered_at_ms, sent_at_ms)
        if sequence > contact.sequence:
            contact.inventory = inventory
            contact.sequence = sequence
        answer = WorkerAnswer(inventory, sent_at_ms, sequence, self._sequence)
        self._listener.on_answer(contact.name, answer)

    async def _follow(self, contact: WorkerContact) -> None:
        while self._running and self._contacts.get(contact.name) is contact:
            sent_at_ms = self._clock.now_ms
            answered = await self.send(contact.name, self._renewal(contact))
            interval_ms = RENEWAL_INTERVAL_MS
            if isinstance(answered, Err) and self._clock.now_ms - sent_at_ms < RENEWAL_INTERVAL_MS:
                interval_ms = RESEND_INTERVAL_MS
            wait_ms = sent_at_ms + interval_ms - self._clock.now_ms
            await sleep(self._reactor, max(0, wait_ms))

    def _renewal(self, contact: WorkerContact) -> Fence | Renew:
        if contact.inventory is None:
            return Fence(self._epoch)
        return Renew(self._epoch, self._listener.renewable(contact.name), TASK_LEASE_MS)


def _is_unanswered(failure: Failure) -> bool:
    return failure.kind in (FailureKind.NO_ANSWER, FailureKind.NOT_SENT)
