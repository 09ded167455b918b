"""One round of scheduling: which waiting groups start where, and what stops for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.decisions import AwaitRoom
from jujubehall.core.fleet.decisions import Decision
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.decisions import StopReason
from jujubehall.core.fleet.placing import place
from jujubehall.core.fleet.preempting import RoomFinder
from jujubehall.core.fleet.preempting import stop_decision
from jujubehall.core.fleet.priorities import DEFERRABLE
from jujubehall.core.fleet.priorities import MOST_URGENT
from jujubehall.core.fleet.rescue import is_worth_moving
from jujubehall.core.fleet.rescue import should_leave
from jujubehall.core.fleet.round_workers import RoundWorkers

if TYPE_CHECKING:
    from jujubehall.core.fleet.book import FleetBook
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.workers import FleetWorker

RESERVATION_MS = 1_500
"""How long room is kept for a group while what runs there stops: the site's bound on a stop
(400 ms) and two looks at a worker."""

NEAR_WAIT_SHARE = 1.0
"""A task waits for a near place this share of its expected duration, and then goes far: there it
takes three times as long."""

MIN_NEAR_WAIT_MS = 1_000

SOUND_WAIT_MS = 1_000
"""After this time a group takes a worker that is slow or on which it has failed."""


class Round:
    """Decides for one moment; the decisions are noted in the book by whoever carries them out."""

    def __init__(self, book: FleetBook, now_ms: int) -> None:
        self._book = book
        self._now_ms = now_ms
        self._decisions: list[Decision] = []
        self._stopped: set[TaskGroup] = set()
        self._steps_without_room: set[tuple[object, ...]] = set()
        """Steps of which a task found no room in this round; its equals would not, either."""

        self._needs_without_room: dict[tuple[object, ...], list[Resources]] = {}
        """Needs of plain tasks that found no room; larger ones of the same kind would not, either."""

        self._headroom = 0
        """Accelerators to be kept free, less those that urgent groups of this round have taken."""

        self._workers = RoundWorkers(book, now_ms)
        self._finder = RoomFinder(now_ms)

    def run(self) -> list[Decision]:
        """The decisions, in the order in which they are to be carried out."""
        self._evacuate()
        self._rescue()
        waiting = sorted(self._book.waiting_groups(self._now_ms), key=self._urgency)
        self._headroom = self._find_headroom(waiting)
        for group in waiting:
            if self._step_key(group) not in self._steps_without_room:
                self._decide(group)
        return self._decisions

    def _evacuate(self) -> None:
        """Stops groups on draining workers that can go on elsewhere."""
        leaving = {
            group: worker
            for worker in self._book.workers.values()
            if worker.leaves_ms is not None
            for group, _ in worker.placements
        }
        for group, worker in sorted(leaving.items(), key=lambda each: self._urgency(each[0])):
            if not should_leave(group, worker, self._now_ms):
                continue
            saves = group.request.saves_checkpoints
            room = place(group, self._workers.sound(group), self._now_ms, may_go_far=True)
            if saves or room is not None:
                self._stop(group, StopReason.WORKER_LEAVES)

    def _stop(self, group: TaskGroup, reason: StopReason) -> None:
        self._book.note_stop(group)
        self._finder.forget(group)
        self._decisions.append(stop_decision(group, reason, self._now_ms))

    def _rescue(self) -> None:
        """Stops groups that would end sooner on other workers, if there is room for them."""
        troubled = {
            group
            for worker in self._book.workers.values()
            if worker.is_troubled(self._now_ms)
            for group, _ in worker.placements
        }
        for group in sorted(troubled, key=self._urgency):
            if not is_worth_moving(group, self._now_ms):
                continue
            workers = self._workers.sound(group)
            if place(group, workers, self._now_ms, may_go_far=False) is None:
                continue
            group.rescues += 1
            self._stop(group, StopReason.TOO_SLOW)

    def _urgency(self, group: TaskGroup) -> tuple[int, int, str, str]:
        job = group.job
        return (job.priority, group.ready_since_ms or 0, job.id, group.key)

    def _decide(self, group: TaskGroup) -> None:
        kind = self._plain_kind(group)
        if kind is not None and any(
            needs.fits_in(group.counted_needs) for needs in self._needs_without_room.get(kind, ())
        ):
            return
        sound = self._workers.sound(group)
        if group.reserved_on and not self._continue_reservation(group, sound):
            return
        if not self._leaves_headroom(group):
            self._steps_without_room.add(self._step_key(group))
            return
        if self._place_sound(group, sound):
            return
        if group.job.priority == MOST_URGENT and not group.reserved_on:
            self._preempt(group, sound)
        if group.reserved_on:
            return
        if self._may_go_far(group) and self._place(group, sound, may_go_far=True):
            return
        if self._waited_ms(group) >= SOUND_WAIT_MS and self._place(
            group, self._workers.accepting(group), may_go_far=False
        ):
            return
        self._steps_without_room.add(self._step_key(group))
        if kind is not None:
            self._needs_without_room.setdefault(kind, []).append(group.counted_needs)

    def _plain_kind(self, group: TaskGroup) -> tuple[object, ...] | None:
        """Names the workers that a single task without further conditions may use; else None."""
        request = group.request
        queue = group.job.queue
        if (
            queue is None
            or queue.asks_for_advice
            or group.job.priority == MOST_URGENT
            or request.is_gang
            or request.tasks_per_worker
            or request.is_filler
            or request.target_latency_ms
            or group.failed_on
            or (request.data_rack and not self._may_go_far(group))
        ):
            return None
        return (queue.pool, request.required_label, self._waited_ms(group) >= SOUND_WAIT_MS)

    def _step_key(self, group: TaskGroup) -> tuple[object, ...]:
        """Names what makes tasks of a step equal for a round."""
        history = (frozenset(group.failed_on), bool(group.reserved_on))
        return (group.job.id, group.occurrence, group.step, self._may_go_far(group), history)

    def _find_headroom(self, waiting: list[TaskGroup]) -> int:
        in_use = sum(
            group.request.needs.accelerators
            for worker in self._book.workers.values()
            for group, _ in worker.placements
            if group.job.priority == MOST_URGENT
        )
        wanted = sum(
            group.request.needs.accelerators * len(group.indexes)
            for group in waiting
            if group.job.priority == MOST_URGENT
        )
        self._book.urgent_demand.note(in_use + wanted, self._now_ms)
        return self._book.urgent_demand.headroom(in_use, self._now_ms)

    def _leaves_headroom(self, group: TaskGroup) -> bool:
        """Whether the group may start without taking what urgent work is likely to need.

        The longer it has waited, the less it leaves: work must not starve.
        """
        if not self._headroom:
            return True
        if group.job.priority < DEFERRABLE or group.request.saves_checkpoints:
            return True
        patience_ms = max(1, group.request.expected_ms)
        share = max(0.0, 1 - self._waited_ms(group) / patience_ms)
        wanted = group.counted_needs.accelerators * len(group.indexes)
        return self._workers.free_accelerators(group) - wanted >= self._headroom * share

    def _place_sound(self, group: TaskGroup, sound: list[FleetWorker]) -> bool:
        """Places the group on sound workers, near its data if it has any."""
        request = group.request
        is_plain = len(group.indexes) == 1 and not (
            request.data_rack or request.tasks_per_worker or group.failed_on or group.reserved_on
        )
        best_fit = self._workers.best_fit(group) if is_plain else None
        if best_fit is None:
            return self._place(group, sound, may_go_far=False)
        worker = best_fit.find()
        if worker is None:
            return False
        self._start(group, {group.indexes.start: worker})
        return True

    def _place(self, group: TaskGroup, workers: list[FleetWorker], may_go_far: bool) -> bool:
        chosen = place(group, workers, self._now_ms, may_go_far)
        if chosen is None:
            return False
        self._start(group, chosen)
        return True

    def _may_go_far(self, group: TaskGroup) -> bool:
        if group.job.priority == MOST_URGENT:
            return True
        patience_ms = max(MIN_NEAR_WAIT_MS, NEAR_WAIT_SHARE * group.request.expected_ms)
        return self._waited_ms(group) >= patience_ms

    def _waited_ms(self, group: TaskGroup) -> int:
        return self._now_ms - (group.ready_since_ms or self._now_ms)

    def _continue_reservation(self, group: TaskGroup, workers: list[FleetWorker]) -> bool:
        """Starts a group whose reserved room has become free; True if it must look anew."""
        usable = all(worker in workers for worker in group.reserved_on.values())
        if usable and all(
            worker.reserved_for(group).fits_in(worker.free_for(group))
            for worker in group.reserved_on.values()
        ):
            self._start(group, group.reserved_on)
            return False
        if usable and self._now_ms < group.reserved_until_ms:
            return False
        self._release_reservation(group)
        return True

    def _start(self, group: TaskGroup, chosen: dict[int, FleetWorker]) -> None:
        self._release_reservation(group)
        self._book.note_start(group, chosen, self._now_ms)
        self._finder.forget(group)
        self._workers.note_changed(chosen.values())
        self._decisions.append(StartGroup(group, dict(chosen), group.run))

    def _release_reservation(self, group: TaskGroup) -> None:
        workers = list(group.reserved_on.values())
        group.release_reservation()
        self._workers.note_changed(workers)

    def _preempt(self, group: TaskGroup, workers: list[FleetWorker]) -> None:
        room = self._finder.find(group, workers)
        if room is None:
            return
        for_ms = RESERVATION_MS
        if room.wait_ms and not room.victims:
            for_ms = round(room.wait_ms)
            self._decisions.append(AwaitRoom(group, room.workers, for_ms))
        group.reserve(room.workers, self._now_ms + for_ms)
        self._workers.note_changed(room.workers.values())
        for victim in sorted(room.victims, key=lambda each: (each.job.id, each.key)):
            if victim not in self._stopped:
                self._stopped.add(victim)
                self._book.note_stop(victim)
                self._finder.forget(victim)
                self._decisions.append(
                    stop_decision(victim, StopReason.PREEMPTED, self._now_ms, group.job.id)
                )
