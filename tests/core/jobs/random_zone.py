"""Random histories of a zone, shared by the property tests and the broken variants."""

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
    """Two racks of 32 accelerators, of which 44 are guaranteed."""
    return FakeZone(2, TEAMS, weight=weight)


def replay(zone: FakeZone, history: Sequence[Event], *, faults: bool) -> None:
    """Applies events, with a round of decisions after each."""
    for kind, first, second in history:
        _apply(zone, kind if faults or kind < 8 else 0, first, second)
        zone.now_ms += second * 5_000
        zone.decide()


def _apply(zone: FakeZone, kind: int, first: int, second: int) -> None:
    running = zone.in_state(JobState.RUNNING)
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
            zone.finish(job.id, second * 1_000 + 1)
    elif kind == 7:
        zone.release()
    elif kind == 8:
        zone.foreign[worker] = second % 9
    elif worker in zone.unusable:
        zone.unusable.remove(worker)
    else:
        zone.unusable.add(worker)
