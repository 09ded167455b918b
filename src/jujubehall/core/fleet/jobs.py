"""Accepted jobs: their task groups, step dependencies and state."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.groups import GroupProgress
from jujubehall.core.fleet.groups import TaskGroup
from jujubehall.core.fleet.priorities import LOWEST_PRIORITY
from jujubehall.core.fleet.progress_parts import MAIN_PART
from jujubehall.core.fleet.progress_parts import ProgressParts
from jujubehall.core.fleet.requests import MAX_TASKS_PER_STEP
from jujubehall.core.fleet.requests import longest_chain_ms
from jujubehall.core.fleet.tickets import StepTickets
from jujubehall.core.jobs.job import JobState

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.identifiers import JobId


MAX_UNFINISHED_TASKS = MAX_TASKS_PER_STEP
"""Most unfinished tasks of a job with which another one of its occurrences begins."""


class JobProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of a job as persisted in the store, separately from the accepted job."""

    state: JobState = JobState.QUEUED
    groups: dict[str, GroupProgress] = {}
    """The groups of the main part. A record of an earlier version of this program holds all."""

    has_started: bool = False
    """Whether any task is known to have been started. The run numbers of the groups don't tell,
    because they are stored before the starts are sent."""


class PartProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of the groups of another part than the main one, as persisted in the store."""

    groups: dict[str, GroupProgress] = {}


class FleetJob:
    """A job that the owner of the site runs to completion."""

    def __init__(self, accepted: AcceptedJob, queue: Queue | None, now_ms: int) -> None:
        self.accepted = accepted
        # The queue may have been removed since the job was accepted; the job then runs under the
        # queue settings stored at its acceptance.
        self.queue = queue or accepted.accepted_under
        self.accepted_ms = now_ms
        """When this owner learned of the job or first refused it, on its own clock."""

        self.state = JobState.QUEUED
        self.stored_state = JobState.QUEUED
        """The state in the store; callers are never shown a state that is not stored yet."""

        self.is_cancelled = False
        self.cleared_suspects = 0
        """How many of its groups were suspected to crash workers and have been cleared."""

        self.ended_ms: int | None = None
        self.groups: dict[tuple[int, int], list[TaskGroup]] = {}
        """Groups by occurrence and step; created when the occurrence becomes due."""

        self._tickets: dict[tuple[int, int], StepTickets] = {}
        self._restored_groups: dict[str, GroupProgress] = {}
        self._stored_has_started = False
        self._progress_parts = ProgressParts(accepted.request)
        self._groups_of_part: dict[int, list[TaskGroup]] = {}
        self.unsaved_parts: set[int] = set()
        """Parts of its progress that have changed since they were last written."""

        self.stored_parts: set[int] = set()
        """Parts, other than the main one, that have a record in the store."""

        self._unfinished_steps: set[tuple[int, int]] = set()
        self._ready_steps: set[tuple[int, int]] = set()
        self._undone_groups: dict[tuple[int, int], int] = {}
        """Number of groups of each step that aren't done."""

        self._next_occurrence = 0

    @property
    def id(self) -> JobId:
        """The job's identifier."""
        return self.accepted.id

    @property
    def priority(self) -> int:
        """The priority of its queue; 0 is the highest."""
        return self.queue.priority if self.queue is not None else LOWEST_PRIORITY

    @property
    def max_failures(self) -> int:
        """Number of failed runs of one group after which the job fails."""
        return self.queue.max_failures if self.queue is not None else 1

    @property
    def is_final(self) -> bool:
        """Whether no more tasks of the job are to be started."""
        return self.state.is_final or self.is_cancelled

    @property
    def has_started(self) -> bool:
        """Whether any task is known to have been started, now or under an earlier owner."""
        return self._stored_has_started or any(group.has_started for group in self.all_groups())

    @property
    def occurrences(self) -> int:
        """The number of times that its steps run."""
        return max(1, self.accepted.request.occurrences)

    @property
    def unfinished_steps(self) -> list[tuple[int, int]]:
        """Occurrence and index of each unfinished step, in ascending order."""
        return sorted(self._unfinished_steps)

    def tickets(self, occurrence: int, step: int) -> StepTickets:
        """Returns the tickets of one step in one occurrence."""
        return self._tickets.setdefault((occurrence, step), StepTickets())

    def count_waiting_from(self, first_attempt_ms: int) -> None:
        """Counts its wait from its caller's first attempt, if earlier ones were refused.

        Its groups are ready only now: what they do without after a long wait, such as locality, they
        haven't waited for yet.
        """
        self.accepted_ms = min(self.accepted_ms, first_attempt_ms)

    def all_groups(self) -> Iterator[TaskGroup]:
        """Yields the groups of all occurrences that have been created."""
        for groups in self.groups.values():
            yield from groups

    def restore(
        self, stored: JobProgress, now_ms: int, parts: Mapping[int, PartProgress] | None = None
    ) -> None:
        """Restores the progress that an earlier owner stored, with its parts other than the main.

        Must be called before ``create_due_occurrences``.
        """
        groups = dict(stored.groups)
        for part, progress in (parts or {}).items():
            groups |= progress.groups
            self.stored_parts.add(part)
        self._restored_groups = groups
        self.note_stored(stored)
        for key in groups:
            self.create_occurrences_through(int(key.partition(".")[0]), now_ms)
        # Groups that the main record holds for other parts are lost with its next write, unless
        # their own parts are written before.
        self.unsaved_parts = {
            group.progress_part for group in self.all_groups() if group.key in stored.groups
        } - {MAIN_PART}
        if stored.state.is_final:
            self.state = stored.state
            # The time of the end is not stored, so its state is kept for the full time once more.
            self.ended_ms = now_ms

    def progress(self) -> JobProgress:
        """Returns the progress to write to the store, with the groups of the main part.

        A job that has ended needs only its state: a new owner stops all runs of it that it finds.
        """
        if self.state.is_final:
            return JobProgress(self.state)
        return JobProgress(self.state, self._progress_of_groups(MAIN_PART), self.has_started)

    def part_progress(self, part: int) -> PartProgress:
        """Returns the progress of a part other than the main one to write to the store."""
        return PartProgress(self._progress_of_groups(part))

    def take_unsaved_parts(self) -> list[int]:
        """Returns the parts to write to the store now, which then no longer count as unsaved.

        The main part comes last, since it may still hold the progress of the others.
        """
        unsaved, self.unsaved_parts = self.unsaved_parts, set()
        others = [] if self.state.is_final else sorted(unsaved - {MAIN_PART})
        is_main_unsaved = (
            MAIN_PART in unsaved
            or not others
            or self.state is not self.stored_state
            or self.has_started is not self._stored_has_started
        )
        return [*others, MAIN_PART] if is_main_unsaved else others

    def note_stored(self, progress: JobProgress) -> None:
        """Records that the main part has been written to the store."""
        self.stored_state = progress.state
        self._stored_has_started = progress.has_started or self._stored_has_started

    def expected_chain_ms(self) -> int:
        """Returns the expected duration of the longest chain of dependent steps."""
        return longest_chain_ms(self.accepted.request.steps)

    def expected_remaining_ms(self) -> int:
        """Returns the expected duration of the longest chain of steps that are not done yet."""
        finished = {
            step
            for occurrence, step in self.groups
            if (occurrence, step) not in self._unfinished_steps
        }
        return longest_chain_ms(self.accepted.request.steps, frozenset(finished))

    @cached_property
    def total_millicore_equivalents(self) -> int:
        """The resources of all its tasks in millicores, with accelerators converted."""
        return sum(
            step.tasks * step.needs.millicore_equivalents for step in self.accepted.request.steps
        )

    @cached_property
    def expected_core_ms(self) -> float:
        """The expected work of all its tasks in core-ms; an accelerator counts as 8 cores."""
        return sum(step.tasks * _task_core_ms(step) for step in self.accepted.request.steps)

    def expected_remaining_core_ms(self) -> float:
        """Returns the expected work in core-ms of all created tasks that are not done yet."""
        return sum(
            len(group.indexes) * _task_core_ms(group.request)
            for step in self._unfinished_steps
            for group in self.groups[step]
            if not group.is_done
        )

    def due_unix_ms(self, occurrence: int) -> int:
        """Returns the earliest start of an occurrence as Unix time in ms.

        Returns 0 for a job without occurrences.
        """
        request = self.accepted.request
        if not request.occurrences:
            return 0
        return request.first_due_unix_ms + occurrence * request.interval_ms

    def create_due_occurrences(self, now_ms: int, unix_ms: int) -> None:
        """Creates the groups of the occurrences that have become due.

        An occurrence waits for earlier ones if too many tasks are unfinished, so that a job that is
        due a million times at once keeps neither the owner nor the other jobs waiting.
        """
        if not self._is_next_occurrence_due(unix_ms):
            return
        steps = self.accepted.request.steps
        tasks = sum(step.tasks for step in steps)
        unfinished_tasks = sum(steps[step].tasks for _, step in self._unfinished_steps)
        while self._is_next_occurrence_due(unix_ms) and (
            unfinished_tasks == 0 or unfinished_tasks + tasks <= MAX_UNFINISHED_TASKS
        ):
            self._create_occurrence(self._next_occurrence)
            self._next_occurrence += 1
            unfinished_tasks += tasks
        self.update_ready_steps(now_ms)

    def _is_next_occurrence_due(self, unix_ms: int) -> bool:
        return (
            not self.is_final
            and self._next_occurrence < self.occurrences
            and self.due_unix_ms(self._next_occurrence) <= unix_ms
        )

    def create_occurrences_through(self, occurrence: int, now_ms: int) -> None:
        """Creates the groups of all occurrences up to one that an earlier owner has started.

        The occurrence may not be due yet on this entry host, because the clock of the earlier owner
        may have been ahead.
        """
        if occurrence >= self.occurrences or occurrence < self._next_occurrence:
            return
        while self._next_occurrence <= occurrence:
            self._create_occurrence(self._next_occurrence)
            self._next_occurrence += 1
        self.update_ready_steps(now_ms)

    def complete(self, group: TaskGroup, now_ms: int) -> None:
        """Marks a group as done, and what becomes ready or is completed by that."""
        if group.is_done:
            return
        group.is_done = True
        key = (group.occurrence, group.step)
        self._undone_groups[key] -= 1
        if not self._undone_groups[key]:
            self.update_ready_steps(now_ms)

    def update_ready_steps(self, now_ms: int) -> None:
        """Marks steps ready whose dependencies are done; completes the job after its last step."""
        if self.is_final:
            return
        self._unfinished_steps = {
            each for each in self._unfinished_steps if self._undone_groups[each]
        }
        for occurrence, step in self._unfinished_steps - self._ready_steps:
            if self._dependencies_done(occurrence, step):
                self._ready_steps.add((occurrence, step))
                for group in self.groups[occurrence, step]:
                    if group.ready_since_ms is None:
                        group.ready_since_ms = now_ms
        if not self._unfinished_steps and self._next_occurrence == self.occurrences:
            self.state = JobState.SUCCEEDED
            self.ended_ms = now_ms

    def fail(self, now_ms: int) -> None:
        """Marks the job as failed."""
        self.state = JobState.FAILED
        self.ended_ms = now_ms

    def cancel(self, now_ms: int) -> None:
        """Marks the job as cancelled unless it has ended already."""
        if not self.state.is_final:
            self.is_cancelled = True
            self.state = JobState.CANCELLED
            self.ended_ms = now_ms

    def find_group(self, occurrence: int, step: int, index: int) -> TaskGroup | None:
        """Returns the group that contains the given task, or None if it doesn't exist."""
        groups = self.groups.get((occurrence, step))
        if not groups:
            return None
        if groups[0].request.is_gang:
            return groups[0] if index in groups[0].indexes else None
        return groups[index] if 0 <= index < len(groups) else None

    def _progress_of_groups(self, part: int) -> dict[str, GroupProgress]:
        return {
            group.key: group.progress() for group in self._groups_of_part.get(part, ()) if group.run
        }

    def _dependencies_done(self, occurrence: int, step: int) -> bool:
        after = self.accepted.request.steps[step].after
        return all((occurrence, dependency) not in self._unfinished_steps for dependency in after)

    def _create_occurrence(self, occurrence: int) -> None:
        for step_index, step in enumerate(self.accepted.request.steps):
            groups = self._create_groups(occurrence, step_index, step)
            self.groups[occurrence, step_index] = groups
            self._unfinished_steps.add((occurrence, step_index))
            self._undone_groups[occurrence, step_index] = sum(not each.is_done for each in groups)

    def _create_groups(
        self, occurrence: int, step_index: int, step: StepRequest
    ) -> list[TaskGroup]:
        if step.is_gang:
            ranges = [range(step.tasks)]
        else:
            ranges = [range(index, index + 1) for index in range(step.tasks)]
        groups = [
            TaskGroup(
                self,
                occurrence,
                step_index,
                step,
                each,
                self._progress_parts.find(occurrence, step_index, each.start),
            )
            for each in ranges
        ]
        for group in groups:
            self._groups_of_part.setdefault(group.progress_part, []).append(group)
            stored = self._restored_groups.get(group.key)
            if stored is not None:
                group.restore(stored)
        return groups


def _task_core_ms(step: StepRequest) -> float:
    return step.expected_ms * step.needs.millicore_equivalents / 1_000
