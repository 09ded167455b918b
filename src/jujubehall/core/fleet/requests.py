"""Job requests as submitted by callers, and accepted jobs as stored."""

from __future__ import annotations

from typing import Annotated

import msgspec

from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.resources import Resources
from jujubehall.decoding import Count
from jujubehall.decoding import Integer
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName

MAX_TASKS_PER_STEP = 10_000
MAX_STEPS = 1_000


class StepRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of ``tasks`` identical tasks, started once all steps listed in ``after`` are done.

    The tasks of a gang run all together or not at all, and end together. ``expected_ms`` is the
    caller's rough estimate of the duration of one task.
    """

    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_STEP)]
    needs: Resources
    expected_ms: Count = 0
    after: tuple[Count, ...] = ()
    is_gang: bool = False
    prefers_one_rack: bool = False
    """If the tasks span racks, they are slowed down by the site's factor for remote placement."""

    data_rack: RackName = RackName("")
    """The rack that holds the data; in other racks the tasks are slowed down by the site's factor
    for remote placement."""

    required_label: str = ""
    tasks_per_worker: Count = 0
    """Maximum number of tasks per worker within one occurrence of the step; 0 means unlimited."""

    saves_checkpoints: bool = False
    may_run_copies: bool = False
    runs_until_cancelled: bool = False
    image: str = ""
    target_latency_ms: Count = 0
    is_filler: bool = False
    """A filler task runs on processor time that other tasks leave idle; its cores are not
    counted."""

    max_unavailable: Count = msgspec.field(default=0, name="may_be_absent")
    """Maximum number of tasks that scheduler decisions may keep from running at the same time."""


class JobRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job submitted by a caller. With ``occurrences``, its steps run that many times."""

    spec: str
    steps: tuple[StepRequest, ...]
    occurrences: Count = 0
    first_due_unix_ms: Integer = 0
    interval_ms: Count = 0


class AcceptedJob(msgspec.Struct, frozen=True):
    """An accepted job as persisted in the store from its acceptance on."""

    id: JobId
    queue: QueueName
    team: TeamName
    request: JobRequest
    accepted_unix_ms: int
    accepted_under: Queue | None = None
    """The queue settings at acceptance, used if the configuration no longer has the queue."""


def longest_chain_ms(steps: tuple[StepRequest, ...], finished: frozenset[int] = frozenset()) -> int:
    """Returns the expected duration of the longest chain of dependent steps.

    The steps whose indexes are in ``finished`` take no more time.
    """
    ends_ms: list[int] = []
    for number, step in enumerate(steps):
        starts_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
        ends_ms.append(starts_ms + (0 if number in finished else step.expected_ms))
    return max(ends_ms)


def find_request_error(request: JobRequest) -> str | None:
    """Returns why the request is invalid, or None if it is valid."""
    if not request.steps:
        return "steps: a job must have at least one step"
    if len(request.steps) > MAX_STEPS:
        return f"steps: {len(request.steps)} steps exceed the limit of {MAX_STEPS} per job"
    for number, step in enumerate(request.steps):
        if any(earlier >= number for earlier in step.after):
            return f"steps[{number}].after: may only list steps with a lower index"
    return None
