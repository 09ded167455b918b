"""Groups on workers that drain and leave."""

from __future__ import annotations

from typing import Any

import msgspec

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.decisions import StopReason
from tests.core.fleet.fleet_book import OVERNIGHT
from tests.core.fleet.fleet_book import SmallSite
from tests.core.fleet.fleet_book import step


def drain(site: SmallSite, name: str, leaves_in_ms: int) -> None:
    listed = [
        (
            msgspec.structs.replace(each, is_draining=True, leaves_in_ms=leaves_in_ms)
            if each.name == name
            else each
        )
        for each in site.listed
    ]
    site.book.sync_workers(listed, site.now_ms)


def running_on(site: SmallSite, **more: Any) -> str:
    site.submit("job", step(expected_ms=10_000, **more), queue=OVERNIGHT)
    (group,) = site.started()
    return group.placements[0].worker.name


def test_work_that_would_be_lost_leaves_at_once() -> None:
    site = SmallSite()
    drain(site, running_on(site), 4_000)
    (stop,) = site.decide()
    assert isinstance(stop, StopGroup)
    assert stop.reason is StopReason.WORKER_LEAVES


def test_checkpointed_work_goes_on_until_shortly_before_the_worker_leaves() -> None:
    site = SmallSite()
    drain(site, running_on(site, saves_checkpoints=True), 4_000)
    assert site.decide() == []
    (stop,) = site.decide(after_ms=3_000)
    assert isinstance(stop, StopGroup)


def test_work_that_ends_in_time_stays() -> None:
    site = SmallSite()
    drain(site, running_on(site), 30_000)
    assert site.decide() == []


def test_work_that_has_nowhere_to_go_stays() -> None:
    site = SmallSite(workers=1)
    drain(site, running_on(site), 4_000)
    assert site.decide() == []


def test_services_leave_a_draining_worker() -> None:
    site = SmallSite()
    drain(site, running_on(site, runs_until_cancelled=True), 4_000)
    (stop,) = site.decide()
    assert isinstance(stop, StopGroup)
