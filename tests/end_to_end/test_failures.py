"""Entry hosts that are killed, paused or started in bad conditions."""

from __future__ import annotations

import socket

from typing import TYPE_CHECKING

import httpx
import pytest

from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import LOOPBACK
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import hold_until_completed
from tests.end_to_end.calls import owners
from tests.end_to_end.calls import runs
from tests.end_to_end.calls import slot_hold

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite

HOLDS = [f"hold-{number}" for number in range(8)]
EXIT_ADDRESS_TAKEN = 3


def test_survivors_take_over_from_a_killed_entry_host(site: LocalSite) -> None:
    for hold in HOLDS:
        hold_until_completed(site, "entry-0", hold)
    site.kill("entry-1")
    wait_until(lambda: "entry-1" not in owners(site, "entry-0"), "entry-1 owns nothing")
    for hold in HOLDS:
        wait_until(lambda: _is_settled(site, "entry-2", hold), f"{hold} is settled")  # noqa: B023
    for number in range(8):
        hold_until_completed(site, "entry-0", f"later-{number}")
    assert set(runs(site).values()) == {1}


def test_a_paused_entry_host_runs_nothing_twice(site: LocalSite) -> None:
    for hold in HOLDS:
        hold_until_completed(site, "entry-0", hold)
    site.freeze("entry-1")
    wait_until(lambda: "entry-1" not in owners(site, "entry-0"), "entry-1 owns nothing")
    for number in range(8):
        hold_until_completed(site, "entry-2", f"meanwhile-{number}")
    site.thaw("entry-1")
    wait_until(lambda: "entry-1" in owners(site, "entry-0"), "entry-1 is back")
    for hold in HOLDS + [f"meanwhile-{number}" for number in range(8)]:
        wait_until(lambda: _is_settled(site, "entry-1", hold), f"{hold} is settled")  # noqa: B023
    assert set(runs(site).values()) == {1}


def test_entry_hosts_start_while_the_platform_is_down(stopped_site: LocalSite) -> None:
    site = stopped_site
    site.start_entry_host("entry-0")
    health = f"{site.address('entry-0')}/healthz"
    wait_until(lambda: _status(health) == 200, "entry-0 serves")
    assert _status(f"{site.address('entry-0')}/readyz") == 503
    refused = slot_hold(site, "entry-0", "too-early")
    assert refused.status_code == 503
    assert refused.json()["outcome"] == "not-run"
    assert int(refused.headers["Retry-After"]) >= 1
    for kind in ("platform", "endpoints", "workers"):
        site.start_stand_in(kind)
    site.wait_until_ready(["entry-0"])
    hold_until_completed(site, "entry-0", "in-time")
    assert runs(site) == {"in-time": 1}


@pytest.mark.parametrize(("offset", "setting"), [(0, "http_port"), (1, "mesh_port")])
def test_a_taken_port_is_named(stopped_site: LocalSite, offset: int, setting: str) -> None:
    site = stopped_site
    port = site.site.entry_host_ports(0)[offset]
    with socket.create_server((LOOPBACK, port)):
        site.start_entry_host("entry-0")
        assert site.wait_for_exit("entry-0") == EXIT_ADDRESS_TAKEN
    log = site.log("entry-0")
    assert f"$.listen.{setting}" in log
    assert str(port) in log
    assert "Traceback" not in log


def _is_settled(site: LocalSite, entry_host: str, identifier: str) -> bool:
    try:
        answer = slot_hold(site, entry_host, identifier)
    except httpx.TransportError:
        return False
    return bool(answer.json()["outcome"] in ("completed", "unknown"))


def _status(url: str) -> int:
    try:
        return CLIENT.get(url).status_code
    except httpx.TransportError:
        return 0
