"""Tests when the owner's limits end, and how much time its decisions may take."""

from __future__ import annotations

import pytest

from jujubehall.clock import Clock
from jujubehall.core.fleet.admission_limits import NO_LIMITS
from jujubehall.core.fleet.job_demand import JobDemand
from jujubehall.core.fleet.job_demand import job_demand
from jujubehall.core.fleet.overload import SETTLING_MS
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.overload_monitor import MAX_LIMITS_AGE_MS
from jujubehall.services.fleet.overload_monitor import OverloadMonitor
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import TEAM
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

REQUEST = JobRequest("spec", (step(32, expected_ms=1_000),))


class LimitedSite:
    """A small site in which new normal jobs are refused; reading the clock takes ``read_ms``."""

    def __init__(self) -> None:
        self.site = SmallSite()
        self.read_ms = 0
        self.monitor = OverloadMonitor(self.site.fleet_state, Clock(self._read_clock))
        self.site.now_ms += SETTLING_MS
        for number in range(24):
            self.site.submit(f"j{number}", *REQUEST.steps)
        self.monitor.update_if_due()

    def decide(self, number: int = 0) -> int | None:
        demand = job_demand(REQUEST)
        assert isinstance(demand, JobDemand)
        return self.monitor.decide(JobId(f"new{number}"), NORMAL, TEAM, demand)

    def _read_clock(self) -> int:
        self.site.now_ms += self.read_ms
        return self.site.now_ms


@pytest.fixture
def limited() -> LimitedSite:
    return LimitedSite()


def test_limits_end_without_updates(limited: LimitedSite) -> None:
    limited.site.now_ms += MAX_LIMITS_AGE_MS
    assert NORMAL in limited.monitor.limits.waits_ms
    assert limited.decide() is not None
    limited.site.now_ms += 1
    assert limited.monitor.limits == NO_LIMITS
    assert limited.decide() is None


def test_failed_update_does_not_prolong_limits(
    limited: LimitedSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    limited.site.now_ms += MAX_LIMITS_AGE_MS + 1
    with monkeypatch.context() as patch:
        patch.delattr(limited.site.fleet_state, "jobs")
        with pytest.raises(AttributeError):
            limited.monitor.update_if_due()
    assert limited.monitor.limits == NO_LIMITS


def test_jobs_are_admitted_once_decisions_have_taken_their_time(limited: LimitedSite) -> None:
    limited.read_ms = 10
    decisions = [limited.decide(number) is not None for number in range(6)]
    assert decisions == [True] * 5 + [False]
    limited.read_ms = 0
    limited.site.now_ms += 1_000
    limited.monitor.update_if_due()
    assert limited.decide() is not None
