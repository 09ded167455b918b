"""Randomised tests: beside services and random faults, guarantees and limits hold."""

from __future__ import annotations

import pytest

from jujubehall.core.fleet import service_stops
from jujubehall.core.fleet.guarantee_room import GuaranteeRoom
from jujubehall.core.fleet.scheduling_round import SchedulingRound
from jujubehall.testing.virtual.fleet.service_guarantees import ServiceGuaranteeSimulation

SEED_OF_LIMITED_STOPS = 0
SEED_OF_FULL_SITE = 1
SEED_OF_RECLAIMED_SERVICES = 0


@pytest.mark.parametrize("seed", range(3_000, 3_006))
def test_guarantees_and_limits_hold_beside_services(seed: int) -> None:
    assert ServiceGuaranteeSimulation(seed).run() == []


def test_stops_beyond_the_limit_of_a_service_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service_stops, "may_disrupt", lambda *_: True)
    violations = ServiceGuaranteeSimulation(SEED_OF_LIMITED_STOPS).run()
    assert any("others are away" in each for each in violations)


def test_services_that_leave_no_room_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(GuaranteeRoom, "applies_to", lambda *_: False)
    violations = ServiceGuaranteeSimulation(SEED_OF_FULL_SITE).run()
    assert any("tasks in time" in each for each in violations)


def test_guarantees_that_are_not_reclaimed_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SchedulingRound, "_reclaim", lambda *_: False)
    violations = ServiceGuaranteeSimulation(SEED_OF_RECLAIMED_SERVICES).run()
    assert any("tasks in time" in each for each in violations)
