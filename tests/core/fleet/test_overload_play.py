"""What callers get with and without refusals, while more is submitted than can be done."""

from __future__ import annotations

from collections import Counter

import pytest

from jujubehall.core.fleet.delay_cost import LATE_VALUE_SHARE
from jujubehall.core.fleet.job_demand import job_demand
from jujubehall.core.fleet.overload import SETTLING_MS
from jujubehall.core.fleet.overload import Overload
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import TEAM
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

TASK_MS = 1_000
OBJECTIVE_MS = 4_000
EXPIRY_MS = 3 * OBJECTIVE_MS
TICK_MS = 100
OVERLOAD_MS = 20_000
MAX_RETURNS = 4
REQUEST = JobRequest("spec", (step(32, expected_ms=TASK_MS, is_gang=True),))
"""A job that takes the whole site for ``TASK_MS``."""


class Play:
    """Submits a job each ``interval_ms`` and lets refused callers return as they were asked to."""

    def __init__(self, refuses: bool, interval_ms: int) -> None:
        self._site = SmallSite()
        self._began_ms = self._site.now_ms
        self._overload = Overload(self._began_ms - SETTLING_MS) if refuses else None
        self._calls = {
            JobId(f"{number:03}"): self._began_ms + number * interval_ms
            for number in range(OVERLOAD_MS // interval_ms)
        }
        self._first_calls_ms = dict(self._calls)
        self._returns: Counter[JobId] = Counter()
        self.results: dict[JobId, str] = {}

    def run(self) -> dict[JobId, str]:
        """Returns for each job whether it was in time, late, never of use, or refused."""
        while len(self.results) < len(self._first_calls_ms):
            now_ms = self._site.now_ms = self._site.now_ms + TICK_MS
            if self._overload is not None and now_ms % 1_000 == 0:
                self._overload.update(self._site.fleet_state, now_ms)
            for job in [name for name, at_ms in self._calls.items() if at_ms <= now_ms]:
                del self._calls[job]
                self._submit(job)
            self._end_runs()
            self._site.now_ms = now_ms
            self._site.start_groups(after_ms=0)
        return self.results

    def _submit(self, job: JobId) -> None:
        queue = CONFIGURATION.queue(NORMAL)
        demand = job_demand(REQUEST)
        assert queue is not None
        assert demand is not None
        now_ms = self._site.now_ms
        if self._overload is not None and self._overload.limits.may_refuse(queue, demand):
            retry_after_ms = self._overload.decide(
                self._site.fleet_state, job, queue, TEAM, demand, now_ms
            )
            if retry_after_ms is not None:
                self._returns[job] += 1
                if self._returns[job] > MAX_RETURNS:
                    self.results[job] = "refused"
                else:
                    self._calls[job] = now_ms + retry_after_ms
                return
        accepted = self._site.submit(job, *REQUEST.steps)
        accepted.count_waiting_from(self._first_calls_ms[job])

    def _end_runs(self) -> None:
        for job in list(self._site.fleet_state.jobs.values()):
            for group in job.all_groups():
                started_ms = min(
                    (each.started_ms for each in group.placements.values()), default=None
                )
                if started_ms is not None and self._site.now_ms - started_ms >= TASK_MS:
                    self._site.end(group, EndKind.DONE)
            if job.state is JobState.SUCCEEDED and job.id not in self.results:
                took_ms = self._site.now_ms - self._first_calls_ms[job.id]
                self.results[job.id] = (
                    "in time"
                    if took_ms <= OBJECTIVE_MS
                    else "late" if took_ms <= EXPIRY_MS else "never"
                )


def value(results: dict[JobId, str]) -> float:
    """Returns what callers get, where a job in time is worth 1."""
    counts = Counter(results.values())
    return counts["in time"] + LATE_VALUE_SHARE * counts["late"]


@pytest.mark.parametrize(("interval_ms", "min_gain"), [(800, 0.0), (300, 5.0)])
def test_callers_get_more_with_refusals(interval_ms: int, min_gain: float) -> None:
    """At 1.25 times what can be done nothing changes; at 3.3 times more jobs are in time."""
    assert value(Play(True, interval_ms).run()) >= value(Play(False, interval_ms).run()) + min_gain
