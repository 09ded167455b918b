"""Policies that refuse jobs at submission, for comparison with the scheduler's own."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.state import FleetState


class Admission(Protocol):
    """Decides on the submissions of one replay."""

    def decide(self, fleet_state: FleetState, job: AcceptedJob, now_ms: int) -> int | None:
        """Returns None to admit the job, or the time in ms after which its caller may return."""


ADMISSIONS: dict[str, Callable[[], Admission]] = {}
"""The policies by the name under which they can be chosen."""

_AdmissionClass = TypeVar("_AdmissionClass", bound="type[Admission]")


def register(name: str) -> Callable[[_AdmissionClass], _AdmissionClass]:
    """Returns a decorator that makes a policy available under ``name``."""

    def add(policy: _AdmissionClass) -> _AdmissionClass:
        ADMISSIONS[name] = policy
        return policy

    return add


@register("backlog")
class BacklogAdmission:
    """The baseline: refuses all jobs while as much work waits as fits on the whole site."""

    RETRY_AFTER_MS = 1_000

    def decide(self, fleet_state: FleetState, job: AcceptedJob, now_ms: int) -> int | None:
        """Compares the accelerators that waiting groups need with those of the site."""
        waiting = sum(
            group.request.needs.accelerators * len(group.indexes)
            for group in fleet_state.waiting_groups(now_ms)
        )
        total = sum(worker.listed.capacity.accelerators for worker in fleet_state.workers.values())
        return self.RETRY_AFTER_MS if waiting >= total else None
