"""Workers as the scheduler sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.resources import NOTHING
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.worker_record import WorkerRecord
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup


SLOW = 2.0
"""From this factor on a worker counts as slow; sound workers differ by a third."""


class ListedWorker(msgspec.Struct, frozen=True):
    """A worker as it lists itself."""

    name: WorkerName
    address: str
    pool: PoolName
    zone: ZoneName
    rack: RackName
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool = False
    life: int = 0
    """Unix time in milliseconds at which it started; tells one life from the next."""

    leaves_in_ms: int | None = None


class FleetWorker:
    """A worker with everything that may be running there."""

    def __init__(self, listed: ListedWorker) -> None:
        self.listed = listed
        self.placements: dict[tuple[TaskGroup, int], Placement] = {}
        self._reserved: dict[TaskGroup, Resources] = {}
        self.is_listed = True
        self.is_in_touch = False
        """Whether its last report is recent; nothing is started on a worker out of touch."""

        self.is_vacating = False
        """Whether its machine is to be taken down for upkeep."""

        self.leaves_ms: int | None = None
        """When a draining worker leaves at the earliest, on the scheduler's clock."""

        self.is_registered = False
        """Whether a later owner would know of this worker."""

        self.avoid_until_ms = 0
        self._unknown_use: Resources = NOTHING
        self.record = WorkerRecord()
        self.has_reported = False
        self.earlier_leases_end_ms = 0
        """Until its first report, runs of an earlier owner may go on here up to this time."""

        self._used: Resources = NOTHING
        self._free: Resources | None = None
        """Kept between changes: a round asks for it once a group and worker."""

        self._slowness = 1.0
        self._is_standing = False
        self._judged_until_ms = 0

    @property
    def name(self) -> WorkerName:
        """The worker's identifier."""
        return self.listed.name

    def slowness(self, now_ms: int) -> float:
        """How many times as long tasks take here as elsewhere."""
        return self._slowness if now_ms < self._judged_until_ms else 1.0

    def is_standing(self, now_ms: int) -> bool:
        """Whether no task here makes any progress."""
        return self._is_standing and now_ms < self._judged_until_ms

    def is_troubled(self, now_ms: int) -> bool:
        """Whether tasks had better run elsewhere."""
        return self.is_standing(now_ms) or self.slowness(now_ms) >= SLOW

    def judge(self, slowness: float, is_standing: bool, until_ms: int) -> None:
        """Notes how tasks go on here."""
        self._slowness = max(1.0, slowness)
        self._is_standing = is_standing
        self._judged_until_ms = until_ms

    @property
    def is_empty(self) -> bool:
        """Whether nothing runs there, as far as is known, or may be running."""
        return not self.placements and self._unknown_use == NOTHING and self.has_reported

    @property
    def unknown_use(self) -> Resources:
        """What tasks take that it runs and the scheduler does not know."""
        return self._unknown_use

    @property
    def free(self) -> Resources:
        """What is neither in use nor reserved."""
        if self._free is None:
            taken = self._used + self._unknown_use
            for amount in self._reserved.values():
                taken = taken + amount
            self._free = self.listed.capacity.minus(taken)
        return self._free

    def free_for(self, group: TaskGroup) -> Resources:
        """What ``group`` may use: what is free and what is reserved for it."""
        if group not in self._reserved:
            return self.free
        return self.listed.capacity.minus(
            self._used + self._unknown_use + self.reserved_for_others(group)
        )

    def reserved_for(self, group: TaskGroup) -> Resources:
        """What is reserved for ``group``."""
        return self._reserved.get(group, NOTHING)

    def reserved_for_others(self, group: TaskGroup) -> Resources:
        """What is reserved for other groups than ``group``."""
        taken = NOTHING
        for owner, amount in self._reserved.items():
            if owner is not group:
                taken = taken + amount
        return taken

    def list_anew(self, listed: ListedWorker) -> None:
        """Notes what the worker says of itself now."""
        self.listed = listed
        self._free = None

    def note_unknown_use(self, amount: Resources) -> None:
        """Notes what tasks take that it runs and the scheduler does not know."""
        self._unknown_use = amount
        self._free = None

    def reserve(self, group: TaskGroup, amount: Resources) -> None:
        """Keeps room for one more task of ``group``."""
        self._reserved[group] = self.reserved_for(group) + amount
        self._free = None

    def release(self, group: TaskGroup) -> None:
        """Gives up what is reserved for ``group``."""
        self._reserved.pop(group, None)
        self._free = None

    def accepts_work(self, now_ms: int) -> bool:
        """Whether new tasks may be started here."""
        return (
            self.is_listed
            and self.is_registered
            and self.is_in_touch
            and not self.listed.is_draining
            and not self.is_vacating
            and self.avoid_until_ms <= now_ms
            and self.record.avoid_until_ms <= now_ms
        )

    def add(self, group: TaskGroup, index: int, placement: Placement) -> None:
        """Notes that a task may run here from now on."""
        self.placements[group, index] = placement
        self._used = self._used + group.counted_needs
        self._free = None

    def remove(self, group: TaskGroup, index: int) -> None:
        """Notes that a task no longer runs here."""
        if self.placements.pop((group, index), None) is not None:
            self._used = self._used.minus(group.counted_needs)
            self._free = None
