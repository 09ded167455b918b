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
        self._overdue_check: Any = None

    def note_sent(self) -> None:
        """Records that the command is being sent now."""
        self._sent_ms = self._slots.clock.now_ms
        self._slots.window.record_send(self._sent_ms)
        self._overdue_check = self._slots.reactor.callLater(
            to_seconds(TARGET_LATENCY_MS), self._note_overdue
        )

    def release(self, *, is_answered: bool) -> None:
        """Gives the slot back; ``is_answered`` tells whether the worker has answered."""
        if self._overdue_check is not None and self._overdue_check.active():
            self._overdue_check.cancel()
        if self._sent_ms is not None and is_answered:
            self._slots.window.record_answer(self._sent_ms, self._slots.clock.now_ms)
        self._slots.forget_overdue(self)
        self._free()

    def _note_overdue(self) -> None:
        # A silent worker must not hold up commands to the others.
        if self._sent_ms is not None and self._slots.window.is_worker_silent(self._sent_ms):
            self._slots.note_overdue(self)
            self._free()

    def _free(self) -> None:
        if self._is_held:
            self._is_held = False
            self._slots.free_one()


class CommandSlots:
    """Gives out slots by rank, and within a rank to one worker after the other.

    So the commands of a burst spread over the workers, and few of them wait for a silent one.
    """

    def __init__(self, reactor: Reactor, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.window = CommandWindow()
        self._held = 0
        self._is_giving_out = False
        self._overdue_slots: set[CommandSlot] = set()
        self._waiting: dict[CommandRank, dict[WorkerName, deque[Deferred[CommandSlot]]]] = {
            rank: {} for rank in CommandRank
        }

    def acquire(self, worker: WorkerName, rank: CommandRank) -> Deferred[CommandSlot]:
        """Returns a deferred that fires with a slot once one is free."""
        waiting: Deferred[CommandSlot] = Deferred()
        self._waiting[rank].setdefault(worker, deque()).append(waiting)
        self._give_out()
        return waiting

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
                worker, waiting = self._pop_next()
                if worker is None or waiting is None:
                    return
                self._held += 1
                waiting.callback(CommandSlot(self, worker))
        finally:
            self._is_giving_out = False

    def _pop_next(self) -> tuple[WorkerName, Deferred[CommandSlot]] | tuple[None, None]:
        overdue_workers = {slot.worker for slot in self._overdue_slots}
        for queues in self._waiting.values():
            worker = next((each for each in queues if each not in overdue_workers), None)
            if worker is not None:
                queue = queues.pop(worker)
                waiting = queue.popleft()
                if queue:
                    # Behind the other workers.
                    queues[worker] = queue
                return worker, waiting
        return None, None
