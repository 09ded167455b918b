"""Workers with their placements, reservations and health."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.failure_history import FailureHistory
from jujubehall.core.fleet.lost_workers import ESTABLISHED_MS
from jujubehall.core.fleet.resources import NO_RESOURCES
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.worker_speed import WorkerSpeed
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from collections.abc import Collection

    from jujubehall.core.fleet.crash_history import Crash
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import StepKey
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.reports import EndedTask


SLOW_FACTOR = 2.0
"""Slowness, beyond its usual speed, from which a worker counts as slow."""


SELF_CRASH_MEMORY_MS = 30_000
"""For how long a worker that has crashed by itself is expected to do so again."""


class ListedWorker(msgspec.Struct, frozen=True):
    """A worker as it registers itself in the list of workers."""

    name: WorkerName
    address: str
    pool: PoolName
    zone: ZoneName
    rack: RackName
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool = False
    incarnation: int = msgspec.field(default=0, name="life")
    """Start time of the worker as Unix time in ms; distinguishes it from earlier incarnations."""

    leaves_in_ms: int | None = None
    cold_remaining_ms: int = 0
    """How much longer the worker remains slow after its start, when its entry was written."""


class FleetWorker:
    """A worker and all tasks that may be running on it."""

    def __init__(self, listed: ListedWorker) -> None:
        self.listed = listed
        self.placements: dict[tuple[TaskGroup, int], Placement] = {}
        self._suspect_placements: set[tuple[TaskGroup, int]] = set()
        """Keys of the placements of groups that were suspected of crashes when they were placed."""

        self._reserved: dict[TaskGroup, Resources] = {}
        self.is_listed = True
        self.is_reachable = False
        """Whether its last report is recent; no tasks are started on an unreachable worker."""

        self.is_awaiting_maintenance = False
        """Whether its machine is to be taken down for maintenance."""

        self.is_zone_evacuated = False
        """Whether the operators have evacuated its availability zone."""

        self.cold_until_ms = 0
        """Until when the worker is slow after its start, on the scheduler's clock."""

        self._cold_entry = (listed.incarnation, 0)
        """The incarnation and the remaining cold time in ms that were last listed."""

        self.departure_ms: int | None = None
        """The earliest time at which a draining worker leaves, on the scheduler's clock."""

        self.is_registered = False
        """Whether the worker is recorded so that a later owner would know of it."""

        self.backoff_until_ms = 0
        self._untracked_usage: Resources = NO_RESOURCES
        self.untracked_tasks: Counter[StepKey] = Counter()
        """Numbers of the runs on the worker that have no placement in the scheduling state, by
        step."""

        self.failure_history = FailureHistory()
        self.has_reported = False
        self.has_unlisted_ends = False
        """Whether runs may have ended here whose ends its last report had no room for."""

        self.applied_ends: frozenset[tuple[int, EndedTask]] = frozenset()
        """The ends in its last report, with its incarnation, that have been applied.

        A worker lists an end in each report until the end is confirmed.
        """

        self.previous_leases_end_ms = 0
        """Until the worker's first report, runs of an earlier owner may be active on it up to this
        time."""

        self.reported_incarnation = 0
        """The incarnation of its last report; 0 before the first."""

        self.registered_incarnation = listed.incarnation
        """The incarnation that it had when this owner learned of it."""

        self.presumed_crashes: list[tuple[TaskGroup, Crash]] = []
        """Crashes recorded since its leases expired while it was unreachable. It may only have been
        cut off."""

        self.crashed_by_itself_ms: int | None = None
        """When it last crashed although no task had just been started."""

        self.up_since_ms = 0
        """When its present incarnation started, on the scheduler's clock."""

        self.last_answer_ms = 0
        """When it last answered a request."""

        self.disconnected_ms: int | None = None
        """When its connections were closed or refused; None if it is reachable or only silent."""

        self._used: Resources = NO_RESOURCES
        self._free: Resources | None = None
        """Cached until the next change, since a round reads it for each group and worker."""

        self.speed = WorkerSpeed(listed.incarnation)
        """The usual speed of its present incarnation, as far as learned."""

        self._slowness = 1.0
        self._is_stalled = False
        self._assessment_expires_ms = 0

    @property
    def name(self) -> WorkerName:
        """The worker's identifier."""
        return self.listed.name

    @property
    def incarnation(self) -> int:
        """Its present incarnation: the last reported one, since the list of workers lags behind."""
        return self.reported_incarnation or self.listed.incarnation

    def has_restarted_since(self, incarnation: int) -> bool:
        """Returns whether a later incarnation than the given one is known.

        Until the worker reports to this owner, the known incarnation may be an earlier one.
        """
        if self.reported_incarnation:
            return self.reported_incarnation != incarnation
        return self.listed.incarnation > incarnation

    def slowness(self, now_ms: int) -> float:
        """Returns how many times longer tasks take here than on other workers."""
        return self._slowness if now_ms < self._assessment_expires_ms else 1.0

    def is_cold(self, now_ms: int) -> bool:
        """Returns whether the worker is still slow because it has just started."""
        return now_ms < self.cold_until_ms

    def update_cold_until(self, now_ms: int) -> None:
        """Updates until when the worker is cold, if its entry says something new about it.

        The worker may list the same value for longer, which then counts from its first listing.
        """
        entry = (self.listed.incarnation, self.listed.cold_remaining_ms)
        if entry == self._cold_entry:
            return
        self._cold_entry = entry
        remaining_ms = self.listed.cold_remaining_ms
        # The end of an earlier cold time is kept, to tell the runs that began in it.
        self.cold_until_ms = (
            now_ms + remaining_ms if remaining_ms else min(self.cold_until_ms, now_ms)
        )

    def is_stalled(self, now_ms: int) -> bool:
        """Returns whether no task on the worker makes progress."""
        return self._is_stalled and now_ms < self._assessment_expires_ms

    def crashes_by_itself(self, now_ms: int) -> bool:
        """Returns whether the worker has crashed recently without a task that may be the cause."""
        crashed_ms = self.crashed_by_itself_ms
        return crashed_ms is not None and now_ms - crashed_ms < SELF_CRASH_MEMORY_MS

    def is_established(self, now_ms: int) -> bool:
        """Returns whether the worker has been up for some time."""
        return now_ms - self.up_since_ms >= ESTABLISHED_MS and not self.crashes_by_itself(now_ms)

    def hosts_start(self, now_ms: int) -> bool:
        """Returns whether a run is just starting on the worker."""
        return any(not each.is_past_start(now_ms) for each in self.placements.values())

    def hosts_suspect_start(self, now_ms: int) -> bool:
        """Returns whether a run of a group that may crash the worker is just starting on it."""
        return bool(self._suspect_placements) and any(
            not self.placements[key].is_past_start(now_ms) for key in self._suspect_placements
        )

    def is_degraded(self, now_ms: int) -> bool:
        """Returns whether other workers should be preferred because this one is stalled or slow."""
        return self.is_stalled(now_ms) or self.slowness(now_ms) >= SLOW_FACTOR

    def forget_speed_of_earlier_incarnation(self) -> None:
        """Forgets the learned speed if the worker has restarted; it may be another machine."""
        if self.has_restarted_since(self.speed.incarnation):
            self.speed = WorkerSpeed(self.incarnation)

    def set_health(self, slowness: float, is_stalled: bool, until_ms: int) -> None:
        """Sets the assessed slowness and stall state, which stay valid until ``until_ms``."""
        self._slowness = max(1.0, slowness)
        self._is_stalled = is_stalled
        self._assessment_expires_ms = until_ms

    @property
    def last_alive_ms(self) -> int:
        """Until when the worker is known to have been alive."""
        return self.last_answer_ms if self.disconnected_ms is None else self.disconnected_ms

    def note_answer(self, now_ms: int) -> None:
        """Records that the worker has answered a request."""
        self.last_answer_ms = now_ms
        self.disconnected_ms = None

    @property
    def is_idle(self) -> bool:
        """Whether the worker has reported and no task is known to run, or may be running, on it."""
        return not self.placements and self._untracked_usage == NO_RESOURCES and self.has_reported

    @property
    def untracked_usage(self) -> Resources:
        """Resources used by runs on the worker that have no placement in the scheduling state."""
        return self._untracked_usage

    @property
    def free(self) -> Resources:
        """Capacity that is neither in use nor reserved."""
        if self._free is None:
            taken = self._used + self._untracked_usage
            for amount in self._reserved.values():
                taken = taken + amount
            self._free = self.listed.capacity.minus(taken)
        return self._free

    @property
    def is_overcommitted(self) -> bool:
        """Whether its runs, with those to be started, need more than its present capacity."""
        return not (self._used + self._untracked_usage).fits_in(self.listed.capacity)

    def free_for(self, group: TaskGroup) -> Resources:
        """Returns the capacity available to ``group``: free capacity and its own reservation."""
        if group not in self._reserved:
            return self.free
        return self.listed.capacity.minus(
            self._used + self._untracked_usage + self.reserved_for_others(group)
        )

    def reserved_for(self, group: TaskGroup) -> Resources:
        """Returns the resources reserved for ``group``."""
        return self._reserved.get(group, NO_RESOURCES)

    def reserved_for_others(self, group: TaskGroup) -> Resources:
        """Returns the resources reserved for groups other than ``group``."""
        taken = NO_RESOURCES
        for other, amount in self._reserved.items():
            if other is not group:
                taken = taken + amount
        return taken

    @property
    def reserving_groups(self) -> Collection[TaskGroup]:
        """The groups for which resources are reserved on the worker."""
        return self._reserved.keys()

    def update_listing(self, listed: ListedWorker) -> None:
        """Replaces the worker's entry in the list of workers."""
        self.listed = listed
        self._free = None

    def set_untracked_runs(self, groups: Collection[TaskGroup]) -> None:
        """Sets the groups of the runs that have no placement in the scheduling state, one for each."""
        usage = NO_RESOURCES
        for group in groups:
            usage = usage + group.occupied_resources
        self._untracked_usage = usage
        self.untracked_tasks = Counter(group.step_key for group in groups)
        self._free = None

    def reserve(self, group: TaskGroup, amount: Resources) -> None:
        """Reserves resources for one more task of ``group``."""
        self._reserved[group] = self.reserved_for(group) + amount
        self._free = None

    def release(self, group: TaskGroup) -> None:
        """Releases the reservation of ``group``."""
        self._reserved.pop(group, None)
        self._free = None

    def accepts_work(self, now_ms: int) -> bool:
        """Returns whether new tasks may be started on the worker at ``now_ms``."""
        return (
            self.is_listed
            and self.is_registered
            and self.is_reachable
            and not self.listed.is_draining
            and not self.is_awaiting_maintenance
            and not self.is_zone_evacuated
            and self.backoff_until_ms <= now_ms
            and self.failure_history.quarantined_until_ms <= now_ms
        )

    def add_placement(self, group: TaskGroup, index: int, placement: Placement) -> None:
        """Records that a task may be running on the worker."""
        self.placements[group, index] = placement
        if group.is_suspect:
            self._suspect_placements.add((group, index))
        self._used = self._used + group.occupied_resources
        self._free = None

    def remove_placement(self, group: TaskGroup, index: int) -> None:
        """Removes a task that no longer runs on the worker."""
        self._suspect_placements.discard((group, index))
        if self.placements.pop((group, index), None) is not None:
            self._used = self._used.minus(group.occupied_resources)
            self._free = None
