"""Random event histories of a zone for property tests and mutation tests of the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import strategies as st

from jujubehall.core.configuration.document import Shape
from jujubehall.core.jobs.job import JobState
from tests.core.jobs.fake_zone import MINUTE_MS
from tests.core.jobs.fake_zone import FakeZone
from tests.core.jobs.fake_zone import job_spec

if TYPE_CHECKING:
    from collections.abc import Sequence

TEAMS = {"large": Shape(1, 16), "medium": Shape(2, 8), "small": Shape(3, 4), "none": None}
SHAPES = ((1, 1), (1, 2), (1, 4), (2, 4), (8, 1), (1, 8), (2, 8), (4, 8), (32, 1), (5, 8), (3, 3))

Event = tuple[int, int, int]

events = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 1_000), st.integers(0, 1_000)),
    min_size=5,
    max_size=40,
)


def make_zone(weight: float = 0.5) -> FakeZone:
    """Returns a zone with two racks of 32 accelerators, 44 of which are guaranteed in all."""
    return FakeZone(2, TEAMS, weight=weight)


def replay_history(zone: FakeZone, history: Sequence[Event], *, faults: bool) -> None:
    """Applies the events of a history and runs a scheduling round after each.

    With ``faults``, workers become unusable and the older scheduler's use varies.
    """
    for kind, first, second in history:
        _apply(zone, kind if faults or kind < 8 else 0, first, second)
        zone.now_ms += second * 5_000
        zone.decide()


def _apply(zone: FakeZone, kind: int, first: int, second: int) -> None:
    running = zone.jobs_in_state(JobState.RUNNING)
    worker = zone.workers[first % len(zone.workers)]
    if kind <= 4:
        parts, accelerators = SHAPES[first % len(SHAPES)]
        team = list(TEAMS)[second % len(TEAMS)]
        zone.submit(
            job_spec(
                team,
                parts,
                accelerators,
                run_time_ms=(1 + second % 90) * MINUTE_MS,
                adjacent=first % 3 > 0,
                urgent=second % 11 == 0,
            )
        )
    elif kind <= 6:
        if running:
            job = running[first % len(running)].record
            zone.complete_job(job.id, second * 1_000 + 1)
    elif kind == 7:
        zone.finish_stops()
    elif kind == 8:
        zone.foreign[worker] = second % 9
    elif worker in zone.unusable:
        zone.unusable.remove(worker)
    else:
        zone.unusable.add(worker)
