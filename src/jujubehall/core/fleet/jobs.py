"""An accepted job: its groups of tasks, its order of steps and its state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.groups import GroupProgress
from jujubehall.core.fleet.groups import TaskGroup
from jujubehall.core.fleet.priorities import LOWEST_PRIORITY
from jujubehall.core.fleet.tickets import StepTickets
from jujubehall.core.jobs.job import JobState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.identifiers import JobId


class JobProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """What is kept of a job's progress, beside the job itself."""

    state: JobState = JobState.QUEUED
    groups: dict[str, GroupProgress] = {}


class FleetJob:
    """A job that the owner of the site follows to its end."""

    def __init__(self, accepted: AcceptedJob, queue: Queue | None, now_ms: int) -> None:
        self.accepted = accepted
        # A job outlives its queue: it is served as the queue was when it was accepted.
        self.queue = queue or accepted.accepted_under
        self.accepted_ms = now_ms
        """When the owner learned of it, on its own clock."""

        self.state = JobState.QUEUED
        self.kept_state = JobState.QUEUED
        """The state in the store; callers are never shown a later one."""

        self.is_cancelled = False
        self.ended_ms: int | None = None
        self.groups: dict[tuple[int, int], list[TaskGroup]] = {}
        """By occurrence and step; made once the occurrence is due."""

        self._tickets: dict[tuple[int, int], StepTickets] = {}
        self._kept = JobProgress()
        self._unfinished_steps: set[tuple[int, int]] = set()
        self._next_occurrence = 0

    @property
    def id(self) -> JobId:
        """The job's identifier."""
        return self.accepted.id

    @property
    def priority(self) -> int:
        """The priority of its queue; 0 is the most urgent."""
        return self.queue.priority if self.queue is not None else LOWEST_PRIORITY

    @property
    def max_failures(self) -> int:
        """How often a group may fail before the job does."""
        return self.queue.max_failures if self.queue is not None else 1

    @property
    def is_final(self) -> bool:
        """Whether nothing is to be started any more."""
        return self.state.is_final or self.is_cancelled

    @property
    def has_started(self) -> bool:
        """Whether any task may have been started."""
        return any(group.has_started for group in self.all_groups())

    @property
    def occurrences(self) -> int:
        """How many times its steps run."""
        return max(1, self.accepted.request.occurrences)

    @property
    def unfinished_steps(self) -> list[tuple[int, int]]:
        """Occurrences and numbers of the steps that are not done, in order."""
        return sorted(self._unfinished_steps)

    def tickets(self, occurrence: int, step: int) -> StepTickets:
        """The tickets of a step."""
        return self._tickets.setdefault((occurrence, step), StepTickets())

    def all_groups(self) -> Iterator[TaskGroup]:
        """The groups of all due occurrences."""
        for groups in self.groups.values():
            yield from groups

    def restore(self, kept: JobProgress, now_ms: int) -> None:
        """Takes over what an earlier owner kept; call it before ``make_due``."""
        self._kept = kept
        self.kept_state = kept.state
        for key in kept.groups:
            self.make_known(int(key.partition(".")[0]), now_ms)
        if kept.state.is_final:
            self.state = kept.state

    def progress(self) -> JobProgress:
        """What is to be kept of its progress now."""
        groups = {group.key: group.progress() for group in self.all_groups() if group.run}
        return JobProgress(self.state, self._kept.groups | groups)

    def due_unix_ms(self, occurrence: int) -> int:
        """When an occurrence may start; 0 for a job without occurrences."""
        request = self.accepted.request
        if not request.occurrences:
            return 0
        return request.first_due_unix_ms + occurrence * request.interval_ms

    def make_due(self, now_ms: int, unix_ms: int) -> None:
        """Makes the groups of the occurrences that have become due."""
        made = False
        while (
            not self.is_final
            and self._next_occurrence < self.occurrences
            and self.due_unix_ms(self._next_occurrence) <= unix_ms
        ):
            self._make_occurrence(self._next_occurrence)
            self._next_occurrence += 1
            made = True
        if made:
            self.release_steps(now_ms)

    def make_known(self, occurrence: int, now_ms: int) -> None:
        """Makes the groups of an occurrence that an earlier owner has started.

        Its clock may have been ahead of this entry host's.
        """
        if occurrence >= self.occurrences:
            return
        while self._next_occurrence <= occurrence:
            self._make_occurrence(self._next_occurrence)
            self._next_occurrence += 1
        self.release_steps(now_ms)

    def release_steps(self, now_ms: int) -> None:
        """Lets the steps start whose earlier steps are done, and ends the job after the last."""
        if self.is_final:
            return
        for occurrence, step in sorted(self._unfinished_steps):
            groups = self.groups[occurrence, step]
            if all(group.is_done for group in groups):
                self._unfinished_steps.discard((occurrence, step))
        for occurrence, step in self._unfinished_steps:
            if self._may_start(occurrence, step):
                for group in self.groups[occurrence, step]:
                    if group.ready_since_ms is None:
                        group.ready_since_ms = now_ms
        if not self._unfinished_steps and self._next_occurrence == self.occurrences:
            self.state = JobState.SUCCEEDED
            self.ended_ms = now_ms

    def fail(self, now_ms: int) -> None:
        """Ends the job as failed."""
        self.state = JobState.FAILED
        self.ended_ms = now_ms

    def cancel(self, now_ms: int) -> None:
        """Ends the job as cancelled, unless it has ended already."""
        if not self.state.is_final:
            self.is_cancelled = True
            self.state = JobState.CANCELLED
            self.ended_ms = now_ms

    def find_group(self, occurrence: int, step: int, index: int) -> TaskGroup | None:
        """The group of a task."""
        groups = self.groups.get((occurrence, step))
        if not groups:
            return None
        if groups[0].request.is_gang:
            return groups[0] if index in groups[0].indexes else None
        return groups[index] if 0 <= index < len(groups) else None

    def _may_start(self, occurrence: int, step: int) -> bool:
        after = self.accepted.request.steps[step].after
        return all((occurrence, earlier) not in self._unfinished_steps for earlier in after)

    def _make_occurrence(self, occurrence: int) -> None:
        for number, step in enumerate(self.accepted.request.steps):
            groups = self._make_groups(occurrence, number, step)
            self.groups[occurrence, number] = groups
            self._unfinished_steps.add((occurrence, number))

    def _make_groups(self, occurrence: int, number: int, step: StepRequest) -> list[TaskGroup]:
        if step.is_gang:
            ranges = [range(step.tasks)]
        else:
            ranges = [range(index, index + 1) for index in range(step.tasks)]
        groups = [TaskGroup(self, occurrence, number, step, each) for each in ranges]
        for group in groups:
            kept = self._kept.groups.get(group.key)
            if kept is not None:
                group.restore(kept)
        return groups
