"""The crashes of workers under the runs of a group, and whether the group causes them.

The load that this answers: tasks that crash each worker that starts them, beside workers and racks
that fail by themselves. A task that is kept takes one worker after the other, with everything that
runs there; a job that is given up without guilt is lost for its caller.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

PROMPT_CRASH_MS = 300
"""A crash within this time after a start may be caused by it. Starts take a few milliseconds, and
rounds of the owner delay what it observes by up to 200 ms."""

STARTUP_MS = 1_000
"""A run that has been at work for this long has survived its start."""

CLEARED_AFTER_MS = 30_000
"""Earlier crashes are forgotten once a run has been at work for this long."""

CRASHES_BEFORE_LIMIT = 3
RUNS_AFTER_CRASHES = 2
"""The platform allows this many further starts after ``CRASHES_BEFORE_LIMIT`` workers have crashed
under a task."""


class Suspicion(Enum):
    """How likely the run caused the crash of its worker."""

    SOLE = "sole"
    """The worker had been up for some time, and of its runs only this one was just starting."""

    SHARED = "shared"
    """The run was just starting, but others were as well, or the worker had just started itself."""

    BYSTANDER = "bystander"
    """The run had been at work for a while, or the whole machine fell silent."""


class Crash(msgspec.Struct, frozen=True, omit_defaults=True):
    """A crash of a worker under a run of the group, as persisted in the store."""

    run: int
    worker: WorkerName
    suspicion: Suspicion
    members: tuple[int, ...] = ()
    """Positions of the group's tasks that were on the worker; empty if they aren't known."""


class CrashHistory:
    """The crashes of workers under the runs of one group since it was last cleared.

    history = CrashHistory()
    history.record(Crash(1, WorkerName("w0"), Suspicion.SHARED))
    history.is_suspect      # True: its next run is started apart from others
    history.record(Crash(2, WorkerName("w1"), Suspicion.SOLE))
    history.is_conclusive   # True: the job is given up
    """

    def __init__(self, crashes: Iterable[Crash] = ()) -> None:
        self._update(tuple(crashes))

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """The recorded crashes, in the order in which they were recorded."""
        return self._crashes

    @property
    def is_suspect(self) -> bool:
        """Whether the group may have caused a crash."""
        return self._is_suspect

    @property
    def worker_names(self) -> frozenset[WorkerName]:
        """The workers that have crashed."""
        return self._worker_names

    @property
    def is_conclusive(self) -> bool:
        """Whether the group must not be started again.

        That is the case after crashes in two runs, of which the later can only have been caused by
        this group, and otherwise when the platform allows no more starts.
        """
        return self._is_convicted or self._has_reached_limit

    @property
    def _is_convicted(self) -> bool:
        runs = {each.run for each in self._crashes if each.suspicion is not Suspicion.BYSTANDER}
        return len(runs) > 1 and any(
            each.run == max(runs) and each.suspicion is Suspicion.SOLE for each in self._crashes
        )

    @property
    def _has_reached_limit(self) -> bool:
        # A wide gang loses some member to almost every failure of a few workers. Each of its tasks
        # has crashed only the workers that it was on itself.
        members = {member for each in self._crashes for member in each.members}
        return any(
            _reaches_limit(
                each for each in self._crashes if not each.members or member in each.members
            )
            for member in members or {0}
        )

    def record(self, crash: Crash) -> None:
        """Records a crash, unless the same one has been recorded already."""
        if not any((each.run, each.worker) == (crash.run, crash.worker) for each in self._crashes):
            self._update((*self._crashes, crash))

    def withdraw(self, run: int, worker: WorkerName) -> None:
        """Forgets a crash, because the worker was only silent."""
        self._update(
            tuple(each for each in self._crashes if (each.run, each.worker) != (run, worker))
        )

    def note_at_work(self, at_work_ms: int) -> bool:
        """Records for how long a run has been at work; returns whether that changes anything.

        A run that is past its start clears the group of suspicion. Its crashes are only forgotten
        after a longer time, so that a task that crashes its workers later is bounded as well.
        """
        if at_work_ms >= CLEARED_AFTER_MS and self._crashes:
            self._update(())
            return True
        if at_work_ms >= STARTUP_MS and self.is_suspect:
            self._update(
                tuple(
                    msgspec.structs.replace(each, suspicion=Suspicion.BYSTANDER)
                    for each in self._crashes
                )
            )
            return True
        return False

    def _update(self, crashes: tuple[Crash, ...]) -> None:
        self._crashes = crashes
        # Each round reads these for every waiting group.
        self._is_suspect = any(each.suspicion is not Suspicion.BYSTANDER for each in crashes)
        self._worker_names = frozenset(each.worker for each in crashes)


def _reaches_limit(crashes: Iterable[Crash]) -> bool:
    """Returns whether the platform allows no more starts of a task after these crashes."""
    # A worker that crashes again and again while the task is long at work is itself at fault.
    counted: dict[tuple[WorkerName, int], int] = {}
    for each in crashes:
        is_bystander = each.suspicion is Suspicion.BYSTANDER
        counted.setdefault((each.worker, 0 if is_bystander else each.run), each.run)
    runs = sorted(counted.values())
    if len(runs) < CRASHES_BEFORE_LIMIT:
        return False
    limit_run = runs[CRASHES_BEFORE_LIMIT - 1]
    return len({each for each in runs if each > limit_run}) >= RUNS_AFTER_CRASHES
