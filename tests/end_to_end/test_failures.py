"""Tests entry hosts that are killed, suspended, or started without a platform or a free port."""

from __future__ import annotations

import socket

from typing import TYPE_CHECKING

import httpx
import pytest

from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import LOOPBACK
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import retry_slot_hold_until_completed
from tests.end_to_end.calls import run_counts
from tests.end_to_end.calls import send_slot_hold
from tests.end_to_end.calls import shard_owners

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite

HOLD_IDS = [f"hold-{number}" for number in range(8)]
ADDRESS_IN_USE_EXIT_CODE = 3


def test_other_entry_hosts_take_over_from_a_killed_one(site: LocalSite) -> None:
    for hold in HOLD_IDS:
        retry_slot_hold_until_completed(site, "entry-0", hold)
    site.kill("entry-1")
    wait_until(lambda: "entry-1" not in shard_owners(site, "entry-0"), "entry-1 owns nothing")
    for hold in HOLD_IDS:
        wait_until(lambda: _is_settled(site, "entry-2", hold), f"{hold} is settled")  # noqa: B023
    for number in range(8):
        retry_slot_hold_until_completed(site, "entry-0", f"later-{number}")
    assert set(run_counts(site).values()) == {1}


def test_suspended_entry_host_runs_no_request_twice(site: LocalSite) -> None:
    for hold in HOLD_IDS:
        retry_slot_hold_until_completed(site, "entry-0", hold)
    site.suspend("entry-1")
    wait_until(lambda: "entry-1" not in shard_owners(site, "entry-0"), "entry-1 owns nothing")
    for number in range(8):
        retry_slot_hold_until_completed(site, "entry-2", f"meanwhile-{number}")
    site.resume("entry-1")
    wait_until(lambda: "entry-1" in shard_owners(site, "entry-0"), "entry-1 owns shards again")
    for hold in HOLD_IDS + [f"meanwhile-{number}" for number in range(8)]:
        wait_until(lambda: _is_settled(site, "entry-1", hold), f"{hold} is settled")  # noqa: B023
    assert set(run_counts(site).values()) == {1}


def test_entry_hosts_start_while_the_platform_is_down(stopped_site: LocalSite) -> None:
    site = stopped_site
    site.start_entry_host("entry-0")
    health = f"{site.base_url('entry-0')}/healthz"
    wait_until(lambda: _status_code(health) == 200, "entry-0 serves")
    assert _status_code(f"{site.base_url('entry-0')}/readyz") == 503
    response = send_slot_hold(site, "entry-0", "too-early")
    assert response.status_code == 503
    assert response.json()["outcome"] == "not-run"
    assert int(response.headers["Retry-After"]) >= 1
    for kind in ("platform", "endpoints", "workers"):
        site.start_stand_in(kind)
    site.wait_until_ready(["entry-0"])
    retry_slot_hold_until_completed(site, "entry-0", "in-time")
    assert run_counts(site) == {"in-time": 1}


@pytest.mark.parametrize(("offset", "setting"), [(0, "http_port"), (1, "mesh_port")])
def test_port_in_use_is_named_in_the_log(
    stopped_site: LocalSite, offset: int, setting: str
) -> None:
    site = stopped_site
    port = site.site.entry_host_ports(0)[offset]
    with socket.create_server((LOOPBACK, port)):
        site.start_entry_host("entry-0")
        assert site.wait_for_exit("entry-0") == ADDRESS_IN_USE_EXIT_CODE
    log = site.read_log("entry-0")
    assert f"$.listen.{setting}" in log
    assert str(port) in log
    assert "Traceback" not in log


def _is_settled(site: LocalSite, entry_host: str, identifier: str) -> bool:
    try:
        response = send_slot_hold(site, entry_host, identifier)
    except httpx.TransportError:
        return False
    return bool(response.json()["outcome"] in ("completed", "unknown"))


def _status_code(url: str) -> int:
    try:
        return CLIENT.get(url).status_code
    except httpx.TransportError:
        return 0
