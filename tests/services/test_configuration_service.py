"""Concurrent changes, lost responses, audit trail rotation and monotonic configurations."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from result import Err
from result import Ok

from jujubehall.clock import reactor_clock
from jujubehall.core.configuration.audit import AUDIT_PREFIX
from jujubehall.core.configuration.audit import ENTRIES_PER_SEGMENT
from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import put_team
from jujubehall.core.configuration.change import remove_team
from jujubehall.core.configuration.change import set_default
from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.zone_summary import RackSummary
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.core.jobs.zone_summary import zone_summary_key
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import Version
from jujubehall.identifiers import ZoneName
from jujubehall.platform.entry import Entry
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.configuration_service import ConfigurationService
from jujubehall.services.guarantee_packer import GuaranteePacker
from jujubehall.services.state_cache import StateCache
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.network import Network
from jujubehall.testing.virtual.platform import VirtualPlatform
from jujubehall.testing.virtual.virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Mapping
    from collections.abc import Sequence

    from result import Result
    from twisted.internet.defer import Deferred

    from jujubehall.services.configuration_service import Change

STEP_S = 0.01


class ConfigurationHosts:
    """Configuration services of several entry hosts that share one key-value store."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.time = VirtualTime()
        self.network = Network(Random(seed))
        self.store = KeyValueStore(reactor_clock(self.time))
        self.caches: list[StateCache] = []
        self.services: list[ConfigurationService] = []
        for number in range(count):
            self.add_host(f"entry-{number}", seed + number)
        self.run_for(1_000)

    def add_host(self, name: str, seed: int = 9) -> ConfigurationService:
        reactor = HostReactor(self.time)
        platform = VirtualPlatform(reactor, self.network, name, self.store, list)
        cache = StateCache(reactor, platform, Random(seed))
        service = ConfigurationService(platform, cache)
        self.caches.append(cache)
        self.services.append(service)
        run_in_background(cache.run())
        return service

    def run_for(self, duration_ms: int) -> None:
        for _ in range(round(duration_ms / 1_000 / STEP_S)):
            self.time.advance(STEP_S)

    def finish(self, *coroutines: Coroutine[Any, Any, Any]) -> list[Any]:
        results: list[Any] = []
        for coroutine in coroutines:
            run_in_background(coroutine).addCallback(results.append)
        for _ in range(2_000):
            if len(results) == len(coroutines):
                return results
            self.time.advance(STEP_S)
        raise AssertionError("coroutines did not finish within 2,000 steps of virtual time")

    @property
    def stored(self) -> Configuration:
        value = self.store.get(CONFIGURATION_KEY).unwrap().value
        return msgspec.convert(value, Configuration)


def set_slots(number: int, author: str = "ada", token: str = "") -> Change:
    change_author = ChangeAuthor(author, "a reason", token or f"{author}-{number}", 0)
    return lambda current: set_default(current, change_author, "endpoint_slots", number)


def apply_changes(hosts: ConfigurationHosts, changes: int) -> None:
    for number in range(changes):
        service = hosts.services[0]
        hosts.finish(service.change(service.current.number, set_slots(1 + number % 900)))


def test_one_of_several_concurrent_changes_succeeds_and_the_others_report_it() -> None:
    hosts = ConfigurationHosts(4)
    results: list[Result[Configuration, Failure]] = hosts.finish(
        *(
            service.change(0, set_slots(10 + number, f"operator-{number}"))
            for number, service in enumerate(hosts.services)
        ),
        hosts.services[0].change(0, set_slots(99, "same-host")),
    )
    winners = [each for each in results if not isinstance(each, Err)]
    assert len(winners) == 1
    winner = winners[0].unwrap().audit[-1]
    for refused in (each for each in results if isinstance(each, Err)):
        failure = refused.err_value
        assert failure.kind is FailureKind.CONFLICT
        assert winner.author in failure.detail
        assert f"defaults.endpoint_slots from 8 to {winner.after}" in failure.detail
    hosts.run_for(200)
    assert {each.current.number for each in hosts.services} == {1}


def test_change_based_on_a_later_configuration_read_elsewhere_is_accepted() -> None:
    hosts = ConfigurationHosts(2)
    hosts.network.disconnect("entry-1", PLATFORM)
    hosts.run_for(500)
    hosts.finish(hosts.services[0].change(0, set_slots(9)))
    hosts.network.reconnect_all()
    (second,) = hosts.finish(hosts.services[1].change(1, set_slots(10)))
    assert second.unwrap().number == 2


@pytest.mark.parametrize("seed", range(3))
def test_change_with_lost_response_is_identified_by_its_token(seed: int) -> None:
    hosts = ConfigurationHosts(2, seed)
    hosts.network.response_loss_rate = 1.0
    (result,) = hosts.finish(hosts.services[0].change(0, set_slots(9)))
    assert result.unwrap().audit[-1].token == "ada-9"
    hosts.network.response_loss_rate = 0.0
    (repeat,) = hosts.finish(hosts.services[1].change(0, set_slots(9)))
    assert repeat.unwrap().number == 1


def test_retry_after_no_answer_succeeds_even_after_later_changes() -> None:
    hosts = ConfigurationHosts(2)
    hosts.network.response_loss_rate = 1.0
    lost: Deferred[Any] = run_in_background(hosts.services[0].change(0, set_slots(9)))
    hosts.run_for(10)
    hosts.network.disconnect("entry-0", PLATFORM)
    hosts.run_for(5_000)
    hosts.network.response_loss_rate = 0.0
    result: Any = lost.result
    assert result.err_value.kind is FailureKind.NO_ANSWER
    for number in range(1, 50):
        hosts.finish(hosts.services[1].change(number, set_slots(number, "eve")))
    (repeat,) = hosts.finish(hosts.services[1].change(0, set_slots(9)))
    assert repeat.unwrap().number == 50
    (other,) = hosts.finish(hosts.services[1].change(0, set_slots(9, token="other")))
    assert "49" in other.err_value.detail or "50" in other.err_value.detail


def test_repeated_removal_is_identified_by_its_token() -> None:
    hosts = ConfigurationHosts(1)
    service = hosts.services[0]
    author = ChangeAuthor("ada", "a reason", "removal", 0)
    hosts.finish(service.change(0, lambda c: put_team(c, author, Team(TeamName("a")))))

    def remove(current: Configuration) -> Result[Configuration, Failure]:
        return remove_team(current, author, TeamName("a"))

    hosts.finish(service.change(1, remove, "removal"))
    (repeat,) = hosts.finish(service.change(1, remove, "removal"))
    assert repeat.unwrap().teams == ()


def test_change_fails_as_unavailable_while_the_platform_is_down() -> None:
    hosts = ConfigurationHosts(1)
    hosts.network.is_platform_down = True
    (result,) = hosts.finish(hosts.services[0].change(0, set_slots(9)))
    assert result.err_value.kind is FailureKind.UNAVAILABLE
    hosts.network.is_platform_down = False
    hosts.run_for(6_000)
    assert hosts.services[0].current.number == 0


def test_history_is_complete_across_audit_segments() -> None:
    hosts = ConfigurationHosts(2)
    apply_changes(hosts, 105)
    hosts.run_for(200)
    for service in hosts.services:
        (history,) = hosts.finish(service.history(1_000))
        assert [entry.number for entry in history.unwrap()] == list(range(105, 0, -1))
        (latest,) = hosts.finish(service.history(30))
        assert [entry.number for entry in latest.unwrap()] == list(range(105, 75, -1))
    segments = hosts.store.list_entries(AUDIT_PREFIX).entries
    assert all(len(each.value["entries"]) == ENTRIES_PER_SEGMENT for each in segments)


def test_change_fails_if_audit_entries_cannot_be_rotated() -> None:
    hosts = ConfigurationHosts(1)
    apply_changes(hosts, 40)
    number = hosts.services[0].current.number
    hosts.network.is_platform_down = True
    (result,) = hosts.finish(hosts.services[0].change(number, set_slots(9)))
    assert result.err_value.kind is FailureKind.UNAVAILABLE
    hosts.network.is_platform_down = False
    hosts.run_for(6_000)
    assert len(hosts.stored.audit) == 40


def test_concurrent_changes_during_rotation_lose_no_audit_entry() -> None:
    hosts = ConfigurationHosts(4)
    accepted = 0
    for number in range(120):
        expected = hosts.stored.number if number else 0
        hosts.network.response_loss_rate = 0.3 if number % 3 == 0 else 0.0
        results = hosts.finish(
            *(
                service.change(expected, set_slots(1 + number, f"operator-{index}"))
                for index, service in enumerate(hosts.services)
            )
        )
        winners = [each for each in results if not isinstance(each, Err)]
        assert len(winners) == 1
        accepted += len(winners)
    hosts.network.response_loss_rate = 0.0
    hosts.run_for(200)
    (history,) = hosts.finish(hosts.services[2].history(1_000))
    assert [entry.number for entry in history.unwrap()] == list(range(accepted, 0, -1))


def test_active_configuration_never_reverts() -> None:
    hosts = ConfigurationHosts(2)
    for number in range(3):
        hosts.finish(hosts.services[0].change(number, set_slots(20 + number)))
    hosts.run_for(200)
    version = hosts.caches[1].version(CONFIGURATION_KEY)
    older = msgspec.to_builtins(Configuration(number=1))
    hosts.caches[1].apply(Entry(CONFIGURATION_KEY, older, Version(version - 1)))
    assert hosts.services[1].current.number == 3
    hosts.store.put(CONFIGURATION_KEY, older, version)
    hosts.run_for(200)
    assert {each.current.number for each in hosts.services} == {3}
    hosts.finish(hosts.services[1].change(3, set_slots(30)))
    hosts.run_for(200)
    assert {each.current.number for each in hosts.services} == {4}


def test_deleted_configuration_stays_active_and_is_rewritten_by_the_next_change() -> None:
    hosts = ConfigurationHosts(2)
    hosts.finish(hosts.services[0].change(0, set_slots(9)))
    hosts.run_for(200)
    hosts.store.delete(CONFIGURATION_KEY, hosts.caches[0].version(CONFIGURATION_KEY))
    hosts.run_for(200)
    assert hosts.services[1].current.defaults.endpoint_slots == 9
    hosts.finish(hosts.services[1].change(1, set_slots(10)))
    assert hosts.stored.number == 2


def test_configuration_of_a_later_release_is_neither_read_nor_overwritten() -> None:
    hosts = ConfigurationHosts(1)
    hosts.finish(hosts.services[0].change(0, set_slots(9)))
    later = msgspec.to_builtins(Configuration(number=2))
    later["defaults"]["not_known_yet"] = 1
    hosts.store.put(CONFIGURATION_KEY, later, hosts.caches[0].version(CONFIGURATION_KEY))
    hosts.run_for(200)
    assert hosts.services[0].current.defaults.endpoint_slots == 9
    (refused,) = hosts.finish(hosts.services[0].change(1, set_slots(10)))
    assert refused.err_value.kind is FailureKind.UNAVAILABLE
    assert hosts.store.get(CONFIGURATION_KEY).unwrap().value == later
    fresh = hosts.add_host("entry-9")
    hosts.run_for(200)
    assert not fresh.is_known


def pack_by_total(
    zones: Mapping[ZoneName, Sequence[RackSummary]], teams: Sequence[Team]
) -> Result[dict[TeamName, dict[ZoneName, int]], Failure]:
    """Places all guarantees in the first zone, if it has enough accelerators in total."""
    zone, racks = next(iter(zones.items()))
    shapes = {team.name: team.guarantee for team in teams if team.guarantee}
    needed = sum(shape.accelerators for shape in shapes.values())
    if needed > sum(rack.accelerators for rack in racks):
        return Err(Failure(FailureKind.INVALID, "pack guarantees", "operator", "no room"))
    return Ok({name: {zone: shape.blocks} for name, shape in shapes.items()})


def test_guarantee_is_accepted_only_if_it_fits_the_published_racks() -> None:
    hosts = ConfigurationHosts(1)
    cache = hosts.caches[0]
    service = ConfigurationService(cache._platform, cache, GuaranteePacker(cache, pack_by_total))
    author = ChangeAuthor("ada", "a reason", "token", 0)

    def guarantee(blocks: int) -> Change:
        team = Team(TeamName("a"), Shape(blocks, 8))
        return lambda current: put_team(current, author, team)

    (early,) = hosts.finish(service.change(0, guarantee(1)))
    assert early.err_value.kind is FailureKind.UNAVAILABLE
    zone = ZoneName("zone-a")
    summary = ZoneSummary(zone, Epoch(1), (RackSummary(RackName("r"), 16, 16, 2, 8),))
    hosts.store.put(zone_summary_key(zone), msgspec.to_builtins(summary), 0)
    hosts.run_for(200)
    (refused,) = hosts.finish(service.change(0, guarantee(3)))
    assert refused.err_value.detail == "no room"
    (accepted,) = hosts.finish(service.change(0, guarantee(2)))
    assert accepted.unwrap().teams[0].blocks_by_zone == {zone: 2}
    assert service.current.number == 1
