"""Jobs as callers ask for them and as they are kept once accepted."""

from __future__ import annotations

from typing import Annotated

import msgspec

from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName

MAX_TASKS_PER_STEP = 10_000
MAX_STEPS = 1_000

NonNegative = Annotated[int, msgspec.Meta(ge=0)]


class StepRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step: ``tasks`` tasks of the same shape that start once the steps in ``after`` are done.

    The tasks of a gang run together or not at all and end together. ``expected_ms`` is the
    caller's rough guess of the duration of one task.
    """

    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_STEP)]
    needs: Resources
    expected_ms: NonNegative = 0
    after: tuple[NonNegative, ...] = ()
    is_gang: bool = False
    prefers_one_rack: bool = False
    """The tasks run slower by the site's far factor when they span racks."""

    data_rack: RackName = RackName("")
    """Where the data lies; elsewhere the tasks run slower by the site's far factor."""

    required_label: str = ""
    tasks_per_worker: NonNegative = 0
    """The most tasks of one occurrence of the step on one worker; 0 means no bound."""

    saves_checkpoints: bool = False
    may_run_copies: bool = False
    runs_until_cancelled: bool = False
    image: str = ""
    target_latency_ms: NonNegative = 0
    is_filler: bool = False
    """Runs on processor time that other tasks leave unused; its cores are not counted."""

    may_be_absent: NonNegative = 0
    """How many tasks may be away at once because of the scheduler's own decisions."""


class JobRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller submits; a job with ``occurrences`` runs its steps that many times."""

    spec: str
    steps: tuple[StepRequest, ...]
    occurrences: NonNegative = 0
    first_due_unix_ms: int = 0
    interval_ms: NonNegative = 0


class AcceptedJob(msgspec.Struct, frozen=True):
    """A job as it is kept in the store from its acceptance on."""

    id: JobId
    queue: QueueName
    team: TeamName
    request: JobRequest
    accepted_unix_ms: int
    accepted_under: Queue | None = None
    """The queue as it was then, for a job whose queue the configuration no longer has."""


def find_request_fault(request: JobRequest) -> str | None:
    """Says why a request can't be accepted, or returns None if it is sound."""
    if not request.steps:
        return "steps: a job needs at least one step"
    if len(request.steps) > MAX_STEPS:
        return f"steps: {len(request.steps)} are more than {MAX_STEPS}"
    for number, step in enumerate(request.steps):
        if any(earlier >= number for earlier in step.after):
            return f"steps[{number}]: may only come after earlier steps"
    return None
