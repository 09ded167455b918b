"""A change of the configuration is in use at every entry host within the operators' bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.services.fleet import configuration_follower
from jujubehall.testing.virtual.fleet.configuration_delays import MAX_DELAY_MS
from jujubehall.testing.virtual.fleet.configuration_delays import MAX_EXTRA_LATENCY_MS
from jujubehall.testing.virtual.fleet.configuration_delays import ConfigurationDelays
from tests.core.fleet.small_site import CONFIGURATION

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

NEWER = msgspec.structs.replace(CONFIGURATION, version=2)


@pytest.mark.parametrize("moment_ms", range(0, 1_200, 200))
def test_change_is_in_use_in_time_though_the_owner_dies_and_the_store_has_discarded_its_history(
    site: VirtualFleet, moment_ms: int
) -> None:
    let_all_hosts_read_the_store(site)
    site.run(moment_ms / 1_000)
    owner = site.owner
    assert owner is not None
    others = [host for host in site.hosts if host is not owner]
    site.store.compact_history()
    owner.reactor.suspend()
    site.configure(NEWER)
    assert site.run_until(
        lambda: all(host.site_host.configuration.version == 2 for host in others),
        MAX_DELAY_MS / 1_000,
    )


def let_all_hosts_read_the_store(site: VirtualFleet) -> None:
    for host in site.hosts[1:]:
        site.network.disconnect(site.hosts[0].name, host.name)
    site.network.disconnect(site.hosts[1].name, site.hosts[2].name)
    site.run(2.0)
    site.network.reconnect_all()
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(2.0)


@pytest.mark.parametrize("seed", range(6))
def test_changes_are_in_use_in_time_while_the_owner_fails(seed: int) -> None:
    assert ConfigurationDelays(seed).run() == []


def test_two_unanswered_watches_leave_time_for_an_answer_of_a_slow_store() -> None:
    longest_ms = (
        configuration_follower.WATCH_WAIT_MS
        + 2 * configuration_follower.WATCH_ANSWER_TIMEOUT_MS
        + MAX_EXTRA_LATENCY_MS
    )
    assert longest_ms < MAX_DELAY_MS


def test_host_that_waits_long_for_the_answer_of_its_watch_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_follower, "WATCH_ANSWER_TIMEOUT_MS", 2_000)
    assert any(ConfigurationDelays(seed).run() for seed in range(3))


def test_host_that_learns_only_from_the_owner_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_follower, "WATCH_WAIT_MS", 30_000)
    assert any(ConfigurationDelays(seed).run() for seed in range(3))
