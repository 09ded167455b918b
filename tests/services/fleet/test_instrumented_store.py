"""Tests the detection of outages of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from jujubehall.testing.virtual.fleet.store import StoreFaultMode

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet


def test_outage_is_logged_once_at_its_start_and_once_at_its_end(site: VirtualFleet) -> None:
    host = next(each for each in site.hosts if each is not site.owner)
    with structlog.testing.capture_logs() as logs:
        site.set_store_fault_mode(StoreFaultMode.UNAVAILABLE)
        site.run(3.0)
        assert host.site_host.store.is_lost
        site.set_store_fault_mode(StoreFaultMode.NONE)
        site.run(3.0)
        assert not host.site_host.store.is_lost
    events = [each["event"] for each in logs if each["event"].startswith("store ")]
    assert events.count("store lost") == events.count("store regained") <= len(site.hosts)


def test_watches_that_are_cut_or_get_no_answer_do_not_show_that_the_store_is_lost(
    site: VirtualFleet,
) -> None:
    """The store is about to discard its history; it answers all other calls."""
    with structlog.testing.capture_logs() as logs:
        for _ in range(10):
            for host in site.hosts:
                host.store.silence_connections()
            site.run(0.3)
    assert not any(host.site_host.store.is_lost for host in site.hosts)
    assert "store lost" not in [each["event"] for each in logs]
