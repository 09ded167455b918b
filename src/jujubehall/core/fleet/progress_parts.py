"""The division of a job's progress into parts, each of which is stored in a record of its own.

The load that this answers: jobs of thousands of tasks. The store limits the size of a value, and a
change of one task must not rewrite the progress of all others.
"""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.core.fleet.requests import JobRequest

TASKS_PER_PART = 256
"""A task takes about 100 bytes, and a few times as many after failures. So a part stays far below
1 MiB, the store's limit, and most jobs have a single part."""

MAIN_PART = 0
"""The part that is stored together with the state of the job."""


class ProgressParts:
    """Assigns the task groups of a job to parts, by the position of their first task.

    parts = ProgressParts(JobRequest("spec", (step_of_300_tasks, step_of_10_tasks)))
    parts.find(occurrence=0, step=0, position=255)   # 0
    parts.find(occurrence=0, step=1, position=0)     # 1
    """

    def __init__(self, request: JobRequest) -> None:
        *self._tasks_before_step, self._tasks_per_occurrence = accumulate(
            (each.tasks for each in request.steps), initial=0
        )

    def find(self, occurrence: int, step: int, position: int) -> int:
        """Returns the part of the group whose first task has the given position in its step."""
        tasks_before = occurrence * self._tasks_per_occurrence + self._tasks_before_step[step]
        return (tasks_before + position) // TASKS_PER_PART
