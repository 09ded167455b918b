"""Tests for stopping groups on draining workers."""

from __future__ import annotations

from typing import Any

import msgspec

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.decisions import StopReason
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step


def drain(site: SmallSite, name: str, leaves_in_ms: int) -> None:
    listed = [
        (
            msgspec.structs.replace(each, is_draining=True, leaves_in_ms=leaves_in_ms)
            if each.name == name
            else each
        )
        for each in site.listed
    ]
    site.fleet_state.sync_workers(listed, site.now_ms)


def start_job(site: SmallSite, **more: Any) -> str:
    site.submit("job", step(expected_ms=10_000, **more), queue=OVERNIGHT)
    (group,) = site.start_groups()
    return group.placements[0].worker.name


def test_group_without_checkpoints_leaves_a_draining_worker_at_once() -> None:
    site = SmallSite()
    drain(site, start_job(site), 4_000)
    (stop,) = site.run_scheduling_round()
    assert isinstance(stop, StopGroup)
    assert stop.reason is StopReason.WORKER_LEAVES


def test_checkpointed_group_runs_until_shortly_before_the_worker_leaves() -> None:
    site = SmallSite()
    drain(site, start_job(site, saves_checkpoints=True), 4_000)
    assert site.run_scheduling_round() == []
    (stop,) = site.run_scheduling_round(after_ms=3_000)
    assert isinstance(stop, StopGroup)


def test_group_that_finishes_before_the_worker_leaves_is_not_stopped() -> None:
    site = SmallSite()
    drain(site, start_job(site), 30_000)
    assert site.run_scheduling_round() == []


def test_group_without_capacity_elsewhere_is_not_stopped() -> None:
    site = SmallSite(workers=1)
    drain(site, start_job(site), 4_000)
    assert site.run_scheduling_round() == []


def test_service_is_stopped_on_a_draining_worker() -> None:
    site = SmallSite()
    drain(site, start_job(site, runs_until_cancelled=True), 4_000)
    (stop,) = site.run_scheduling_round()
    assert isinstance(stop, StopGroup)
