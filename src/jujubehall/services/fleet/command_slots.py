"""Slots for commands to the workers, which are given out as the command window allows."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.core.fleet.command_window import TARGET_LATENCY_MS
from jujubehall.core.fleet.command_window import CommandWindow

if TYPE_CHECKING:
    from collections.abc import Hashable

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.identifiers import WorkerName


class CommandRank(IntEnum):
    """The order in which waiting commands get their slots."""

    STOP = 0
    """Stops free capacity that others wait for, and end work that nobody wants any longer."""

    URGENT_START = 1
    START = 2


class CommandSlot:
    """The right to send one command, which must be given back with ``release``."""

    def __init__(self, slots: CommandSlots, worker: WorkerName) -> None:
        self.worker = worker
        self._slots = slots
        self._is_held = True
        self._sent_ms: int | None = None
        self._blocked_before_ms = 0
        self._overdue_check: Any = None

    def note_sent(self) -> None:
        """Records that the command is being sent now."""
        self._sent_ms = self._slots.clock.now_ms
        self._blocked_before_ms = self._slots.blocked_ms
        self._slots.window.record_send(self._sent_ms)
        self._check_overdue_in(TARGET_LATENCY_MS)

    def release(self, *, is_answered: bool) -> None:
        """Gives the slot back; ``is_answered`` tells whether the worker has answered."""
        if self._overdue_check is not None and self._overdue_check.active():
            self._overdue_check.cancel()
        if self._sent_ms is not None and is_answered:
            self._slots.window.record_answer(
                self._sent_ms, self._slots.clock.now_ms, self._blocked_ms
            )
        self._slots.forget_overdue(self)
        self._free()

    @property
    def _blocked_ms(self) -> int:
        return self._slots.blocked_ms - self._blocked_before_ms

    def _check_overdue_in(self, delay_ms: int) -> None:
        self._overdue_check = self._slots.reactor.callLater(
            to_seconds(delay_ms), self._note_overdue
        )

    def _note_overdue(self) -> None:
        if self._sent_ms is None:
            return
        waited_ms = self._slots.clock.now_ms - self._sent_ms - self._blocked_ms
        if waited_ms < TARGET_LATENCY_MS:
            self._check_overdue_in(TARGET_LATENCY_MS - waited_ms)
        elif self._slots.window.is_worker_silent(self._sent_ms):
            # A silent worker must not hold up commands to the others.
            self._slots.note_overdue(self)
            self._free()

    def _free(self) -> None:
        if self._is_held:
            self._is_held = False
            self._slots.free_one()


class _WaitingCommand:
    """A command that waits for its slot."""

    def __init__(self, worker: WorkerName, gang: Hashable) -> None:
        self.worker = worker
        self.gang = gang
        self.slot: Deferred[CommandSlot] = Deferred()
        self.is_waiting = True


class CommandSlots:
    """Gives out slots by rank, and within a rank to one worker after the other.

    So the commands of a burst spread over the workers, and few of them wait for a silent one. Once
    a gang has got a slot, its other commands come before those of all others but stops: its members
    wait for each other.
    """

    def __init__(self, reactor: Reactor, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.window = CommandWindow()
        self.blocked_ms = 0
        """Total time for which this process could not read answers."""

        self._held = 0
        self._is_giving_out = False
        self._overdue_slots: set[CommandSlot] = set()
        self._waiting: dict[CommandRank, dict[WorkerName, deque[_WaitingCommand]]] = {
            rank: {} for rank in CommandRank
        }
        self._gangs: dict[Hashable, deque[_WaitingCommand]] = {}
        """The commands of each gang, also while they wait in their rank."""

        self._begun_gangs: dict[Hashable, None] = {}
        """Gangs that have got a slot and wait for more, in this order."""

    def acquire(
        self, worker: WorkerName, rank: CommandRank, gang: Hashable = None
    ) -> Deferred[CommandSlot]:
        """Returns a deferred that fires with a slot once one is free.

        ``gang`` is equal for the starts of one run of a gang and None for other commands.
        """
        command = _WaitingCommand(worker, gang)
        self._waiting[rank].setdefault(worker, deque()).append(command)
        if gang is not None:
            self._gangs.setdefault(gang, deque()).append(command)
        self._give_out()
        return command.slot

    def note_blocked(self, duration_ms: int) -> None:
        """Records that this process has read no answers for ``duration_ms`` up to now."""
        self.blocked_ms += duration_ms

    def note_overdue(self, slot: CommandSlot) -> None:
        """Holds back further commands to the slot's worker until this one ends."""
        self._overdue_slots.add(slot)

    def forget_overdue(self, slot: CommandSlot) -> None:
        """Records that an overdue command has ended."""
        if slot in self._overdue_slots:
            self._overdue_slots.discard(slot)
            self._give_out()

    def free_one(self) -> None:
        """Takes a slot back and gives it to the next command."""
        self._held -= 1
        self._give_out()

    def _give_out(self) -> None:
        if self._is_giving_out:
            # A command that is given up at once frees its slot within the callback below.
            return
        self._is_giving_out = True
        try:
            while self._held < self.window.limit:
                command = self._pop_next()
                if command is None:
                    return
                self._held += 1
                command.slot.callback(CommandSlot(self, command.worker))
        finally:
            self._is_giving_out = False

    def _pop_next(self) -> _WaitingCommand | None:
        overdue_workers = {slot.worker for slot in self._overdue_slots}
        return (
            self._pop_from_rank(CommandRank.STOP, overdue_workers)
            or self._pop_from_begun_gang(overdue_workers)
            or self._pop_from_rank(CommandRank.URGENT_START, overdue_workers)
            or self._pop_from_rank(CommandRank.START, overdue_workers)
        )

    def _pop_from_rank(
        self, rank: CommandRank, overdue_workers: set[WorkerName]
    ) -> _WaitingCommand | None:
        queues = self._waiting[rank]
        while worker := next((each for each in queues if each not in overdue_workers), None):
            queue = queues.pop(worker)
            while queue:
                command = queue.popleft()
                if command.is_waiting:
                    if queue:
                        # Behind the other workers.
                        queues[worker] = queue
                    self._remove(command)
                    return command
        return None

    def _pop_from_begun_gang(self, overdue_workers: set[WorkerName]) -> _WaitingCommand | None:
        for gang in self._begun_gangs:
            for command in self._gangs[gang]:
                if command.worker not in overdue_workers:
                    self._remove(command)
                    return command
        return None

    def _remove(self, command: _WaitingCommand) -> None:
        command.is_waiting = False
        if command.gang is None:
            return
        self._gangs[command.gang].remove(command)
        if self._gangs[command.gang]:
            self._begun_gangs[command.gang] = None
        else:
            del self._gangs[command.gang]
            self._begun_gangs.pop(command.gang, None)
