"""A new owner knows the speeds of the workers that the last one has learned."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.worker_speed import StoredSpeed
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.records import SPEEDS_KEY
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualHost

FACTORS = (0.6, 1.0, 1.6, 1.0, 1.6, 0.6, 1.0, 1.0)
TASKS_ON_ALL_WORKERS = JobRequest("spec", (step(tasks=64, expected_ms=1_500),))
MAX_RECORD_BYTES = 40_000
"""On a link of 5 Mbit/s a record of this size takes 64 ms."""


@pytest.fixture
def uneven_site() -> VirtualFleet:
    """Returns a site whose workers take ``FACTORS`` times as long."""
    site = VirtualFleet(CONFIGURATION, SmallSite(len(FACTORS), rack_size=8).listed)
    for worker, factor in zip(site.workers.values(), FACTORS, strict=True):
        worker.slowness = factor
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.0)
    return site


def run_jobs(site: VirtualFleet, count: int) -> None:
    host = next(number for number, each in enumerate(site.hosts) if not each.reactor.is_killed)
    for _ in range(count):
        site.submit(JobId(f"{len(site.requests):016x}"), TASKS_ON_ALL_WORKERS, host=host)
        site.run(3.0)


def learned_classes(host: VirtualHost) -> list[int]:
    owner = host.site_host.owner
    assert owner is not None
    return [each.speed.speed_class for each in owner.fleet_state.workers.values()]


def replace_owner(site: VirtualFleet) -> VirtualHost:
    """Kills the owner and returns the next one, as soon as it has taken over."""
    former = site.owner
    assert former is not None
    site.kill(former)

    def has_taken_over() -> bool:
        host = site.owner
        return host is not None and host.site_host.owner.is_loaded  # type: ignore[union-attr]

    assert site.run_until(has_taken_over, 10.0)
    successor = site.owner
    assert successor is not None
    return successor


def stored_speeds(site: VirtualFleet) -> list[StoredSpeed]:
    item = site.store.get(SPEEDS_KEY)
    return [] if item is None else msgspec.json.decode(item.value, type=list[StoredSpeed])


def test_new_owner_knows_the_speeds_within_a_second(uneven_site: VirtualFleet) -> None:
    run_jobs(uneven_site, 3)
    assert uneven_site.owner is not None
    learned = learned_classes(uneven_site.owner)
    assert [each < 0 for each in learned] == [each < 1 for each in FACTORS]
    assert [each > 0 for each in learned] == [each > 1 for each in FACTORS]
    successor = replace_owner(uneven_site)
    uneven_site.run(1.0)
    assert learned_classes(successor) == learned


def test_worker_that_has_restarted_since_starts_anew(uneven_site: VirtualFleet) -> None:
    run_jobs(uneven_site, 3)
    former = uneven_site.owner
    assert former is not None
    uneven_site.kill(former)
    uneven_site.workers[WorkerName("w2")].restart()
    assert uneven_site.run_until(lambda: uneven_site.owner is not None, 10.0)
    uneven_site.run(2.0)
    assert uneven_site.owner is not None
    classes = learned_classes(uneven_site.owner)
    assert classes[2] == 0
    assert classes[4] > 0


@pytest.mark.parametrize("content", [b"", b"[[1]]", b"{"])
def test_unreadable_record_costs_only_knowledge(uneven_site: VirtualFleet, content: bytes) -> None:
    uneven_site.store.commit([], [Write(SPEEDS_KEY, content)], [])
    successor = replace_owner(uneven_site)
    uneven_site.run(1.0)
    assert learned_classes(successor) == [0] * len(FACTORS)
    run_jobs(uneven_site, 3)
    assert any(learned_classes(successor))


def test_speeds_are_written_again_after_the_store_was_down(uneven_site: VirtualFleet) -> None:
    run_jobs(uneven_site, 1)
    uneven_site.set_store_fault_mode(StoreFaultMode.UNAVAILABLE)
    uneven_site.run(2.0)
    uneven_site.set_store_fault_mode(StoreFaultMode.NONE)
    assert uneven_site.run_until(lambda: uneven_site.owner is not None, 10.0)
    run_jobs(uneven_site, 3)
    assert len(stored_speeds(uneven_site)) == len(FACTORS)


def test_nothing_is_written_where_workers_are_alike(uneven_site: VirtualFleet) -> None:
    for worker in uneven_site.workers.values():
        worker.slowness = 1.0
    run_jobs(uneven_site, 3)
    assert uneven_site.store.get(SPEEDS_KEY) is None


def test_record_of_a_large_site_is_small() -> None:
    speeds = [
        StoredSpeed(WorkerName(f"loan-desk-{number:05}"), 1_700_000_000_000 + number, -511, 52, 12)
        for number in range(820)
    ]
    assert len(msgspec.json.encode(speeds)) <= MAX_RECORD_BYTES
