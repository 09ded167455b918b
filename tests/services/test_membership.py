"""Membership and ownership under injected failures.

The failures are crashes, pauses, partitions, platform outages, stale reads and lost responses.
"""

from __future__ import annotations

import gc

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from jujubehall.core.ownership import assignment
from jujubehall.core.ownership.record import MEMBERS_PREFIX
from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.services import membership as membership_module
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.membership import LEASE_TTL_MS
from jujubehall.services.membership import OUTAGE_RECOVERY_GRACE_MS
from jujubehall.services.membership import Membership
from jujubehall.services.state_cache import StateCache
from jujubehall.services.state_cache import _CachedValue
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.ownership_site import OwnershipHost
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.platform.entry import Entry

ENTRY_HOST_COUNT = 5
TAKE_OVER_TIMEOUT_MS = 6_000
"""Covers the expiry of a lease, a renewal and the delays of the other proposers."""

RECOVERY_TIMEOUT_MS = 25_000
"""Covers the longest back-off and call, the grace period after an outage, the expiry of a lease
and the delays of the proposers.
"""

LONG_OUTAGE_MS = 40_000


@pytest.fixture
def site() -> OwnershipSite:
    return settled_site(1)


def settled_site(seed: int) -> OwnershipSite:
    site = OwnershipSite(ENTRY_HOST_COUNT, seed)
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
    site.run_for(OUTAGE_RECOVERY_GRACE_MS)
    return site


def number_of(host: OwnershipHost) -> int:
    return int(host.name.rsplit("-", 1)[1])


def owners_by_scope(site: OwnershipSite) -> dict[str, str]:
    return dict(site.record.owners)


def owns_nothing(site: OwnershipSite, host: OwnershipHost) -> bool:
    return host.name not in site.record.owners.values()


def only_scopes_moved_of(before: dict[str, str], after: dict[str, str], names: set[str]) -> bool:
    return all(before[scope] in names for scope in before if before[scope] != after[scope])


@pytest.mark.parametrize("number", range(ENTRY_HOST_COUNT))
def test_only_the_scopes_of_a_crashed_owner_are_reassigned(
    site: OwnershipSite, number: int
) -> None:
    before = owners_by_scope(site)
    host = list(site.hosts.values())[number]
    host.reactor.kill()
    site.run_until(site.has_converged, TAKE_OVER_TIMEOUT_MS)
    assert only_scopes_moved_of(before, owners_by_scope(site), {host.name})


def test_planned_stop_hands_over_scopes_before_deregistering(site: OwnershipSite) -> None:
    host = site.hosts[next(iter(site.hosts))]
    stopped = run_in_background(host.stop())
    took_ms = site.run_until(partial(owns_nothing, site, host), 2_000)
    assert not stopped.called or took_ms < 2_000
    site.run_until(lambda: bool(stopped.called), 1_000)
    site.run_until(site.has_converged, 2_000)


def test_last_entry_host_stops_without_a_successor() -> None:
    site = OwnershipSite(1, 1)
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
    stopped = run_in_background(site.live_hosts[0].stop())
    site.run_until(lambda: bool(stopped.called), 1_000)


def test_owner_does_not_reclaim_scopes_reassigned_during_its_pause(site: OwnershipSite) -> None:
    host = site.hosts[next(iter(site.hosts))]
    host.reactor.suspend()
    site.run_until(partial(owns_nothing, site, host), TAKE_OVER_TIMEOUT_MS)
    host.reactor.resume()
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
    assert host.membership.record == site.record


def test_ownership_is_unchanged_when_all_leases_expire_in_an_outage(site: OwnershipSite) -> None:
    epoch = site.record.epoch
    site.network.is_platform_down = True
    site.run_for(LONG_OUTAGE_MS)
    site.store.expire_leases()
    assert not site.store.list_entries(MEMBERS_PREFIX).entries
    site.network.is_platform_down = False
    site.run_for(RECOVERY_TIMEOUT_MS)
    assert site.has_converged()
    assert site.record.epoch == epoch


@pytest.mark.parametrize("seed", range(3))
def test_only_the_scopes_of_hosts_lost_in_an_outage_are_reassigned(seed: int) -> None:
    site = settled_site(seed)
    before = owners_by_scope(site)
    site.network.is_platform_down = True
    site.run_for(5_000)
    lost = site.random.sample(site.live_hosts, 2)
    for host in lost:
        host.reactor.kill()
    site.run_for(LONG_OUTAGE_MS)
    site.network.is_platform_down = False
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
    assert only_scopes_moved_of(before, owners_by_scope(site), {host.name for host in lost})


def test_hosts_restarted_during_an_outage_regain_ownership(site: OwnershipSite) -> None:
    site.network.is_platform_down = True
    site.run_for(5_000)
    for host in list(site.hosts.values())[:2]:
        host.reactor.kill()
        site.start_host(number_of(host))
    site.run_for(LONG_OUTAGE_MS)
    site.network.is_platform_down = False
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)


@pytest.mark.parametrize("disconnected_ms", [500, 1_000, 1_500])
def test_short_platform_disconnection_does_not_change_ownership(
    site: OwnershipSite, disconnected_ms: int
) -> None:
    record = site.record
    for host in site.live_hosts:
        site.network.disconnect(host.name, PLATFORM)
        site.run_for(disconnected_ms)
        site.network.reconnect_all()
        site.run_for(RECOVERY_TIMEOUT_MS // 4)
    assert site.record == record


def test_single_host_disconnected_from_the_platform_loses_its_scopes(site: OwnershipSite) -> None:
    host = site.hosts[next(iter(site.hosts))]
    site.network.disconnect(host.name, PLATFORM)
    site.run_until(partial(owns_nothing, site, host), TAKE_OVER_TIMEOUT_MS)
    site.network.reconnect_all()
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)


def test_host_disconnected_after_an_outage_keeps_its_scopes_only_for_the_grace_period(
    site: OwnershipSite,
) -> None:
    host = site.hosts[next(iter(site.hosts))]
    site.network.is_platform_down = True
    site.run_for(LONG_OUTAGE_MS)
    site.network.disconnect(host.name, PLATFORM)
    site.network.is_platform_down = False
    took_ms = site.run_until(partial(owns_nothing, site, host), RECOVERY_TIMEOUT_MS)
    assert took_ms >= OUTAGE_RECOVERY_GRACE_MS / 2


def test_restarted_host_with_the_same_name_replaces_its_paused_predecessor(
    site: OwnershipSite,
) -> None:
    earlier = site.hosts[next(iter(site.hosts))]
    earlier.reactor.suspend()
    later = site.start_host(number_of(earlier))
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
    earlier.reactor.resume()
    site.run_for(5_000)
    assert earlier.membership.is_replaced
    assert not earlier.membership.is_member
    assert later.membership.is_member
    assert site.has_converged()


def test_later_of_two_registered_incarnations_stays_registered(
    site: OwnershipSite,
) -> None:
    earlier = site.hosts[next(iter(site.hosts))]
    earlier.reactor.suspend()
    later = site.start_host(number_of(earlier))
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
    later.reactor.suspend()
    site.run_for(TAKE_OVER_TIMEOUT_MS)
    # The earlier incarnation registers while the later one is suspended; then that one resumes.
    earlier.reactor.resume()
    site.run_for(TAKE_OVER_TIMEOUT_MS)
    assert earlier.membership.is_member
    later.reactor.resume()
    site.run_until(lambda: earlier.membership.is_replaced, TAKE_OVER_TIMEOUT_MS)
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
    assert not later.membership.is_replaced


def test_ownership_settles_after_each_step_of_a_rolling_replacement(site: OwnershipSite) -> None:
    for number in range(ENTRY_HOST_COUNT):
        host = list(site.hosts.values())[number]
        stopped = run_in_background(host.stop())
        site.run_until(lambda: bool(stopped.called), 8_000)  # noqa: B023
        site.start_host(number)
        site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)


def test_lost_ownership_record_is_rewritten_with_a_higher_epoch(site: OwnershipSite) -> None:
    epoch = site.record.epoch
    version = site.live_hosts[0].cache.version(OWNERSHIP_KEY)
    # Advances without the invariant checks of ``run_for``: the deleted record is a fault of the
    # platform, and would violate the check of the stored epoch.
    site.store.delete(OWNERSHIP_KEY, version)
    while site.record.epoch == 0:
        site._advance_time(50)
    assert site.record.epoch == epoch + 1
    site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)


def test_zones_keep_their_owners_while_the_host_list_is_empty(site: OwnershipSite) -> None:
    record = site.record
    for host in site.live_hosts:
        host.membership._zones = list
    site.run_for(3_000)
    assert site.record == record


class FaultInjector:
    """Injects faults chosen by the site's random generator, and ends all of them on demand."""

    def __init__(self, site: OwnershipSite) -> None:
        self._site = site
        self.counts: dict[str, int] = {}

    def inject(self) -> None:
        kinds: list[Callable[[], None]] = [
            self.kill,
            self.restart,
            self.suspend,
            self.resume_all,
            self.replace_paused,
            self.stop_and_start,
            self.disconnect_platform,
            self.disconnect_peers,
            self.reconnect_all,
            self.outage,
            self.end_outage,
            self.lose_responses,
            self.slow_platform,
            self.stale_reads,
            self.fresh_reads,
        ]
        fault = self._site.random.choice(kinds)
        self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
        fault()

    def end_all(self) -> None:
        network = self._site.network
        network.reconnect_all()
        network.is_platform_down = False
        network.platform_delay_ms = 0
        network.response_loss_rate = 0.0
        for host in (*self._site.hosts.values(), *self._site.replaced_hosts):
            host.platform.read_from_replica(None)
            host.reactor.resume()
        for host in list(self._site.hosts.values()):
            if not host.is_live:
                self._site.start_host(number_of(host))

    def _any(self) -> OwnershipHost:
        return self._site.random.choice(list(self._site.hosts.values()))

    def kill(self) -> None:
        self._any().reactor.kill()

    def restart(self) -> None:
        host = self._any()
        host.reactor.kill()
        self._site.start_host(number_of(host))

    def suspend(self) -> None:
        self._any().reactor.suspend()

    def resume_all(self) -> None:
        for host in (*self._site.hosts.values(), *self._site.replaced_hosts):
            host.reactor.resume()

    def replace_paused(self) -> None:
        host = self._any()
        host.reactor.suspend()
        self._site.start_host(number_of(host))

    def stop_and_start(self) -> None:
        host = self._any()
        if host.is_live:
            run_in_background(host.stop())
            self._site.run_for(500)
            self._site.start_host(number_of(host))

    def disconnect_platform(self) -> None:
        self._site.network.disconnect(self._any().name, PLATFORM)

    def disconnect_peers(self) -> None:
        self._site.network.disconnect(self._any().name, self._any().name)

    def reconnect_all(self) -> None:
        self._site.network.reconnect_all()

    def outage(self) -> None:
        self._site.network.is_platform_down = True

    def end_outage(self) -> None:
        self._site.network.is_platform_down = False

    def lose_responses(self) -> None:
        self._site.network.response_loss_rate = self._site.random.choice([0.0, 0.2, 0.8])

    def slow_platform(self) -> None:
        self._site.network.platform_delay_ms = self._site.random.choice(
            [0, 100, 400, 900, 1_500, 2_500]
        )

    def stale_reads(self) -> None:
        self._any().platform.read_from_replica(self._site.store.snapshot())

    def fresh_reads(self) -> None:
        for host in self._site.hosts.values():
            host.platform.read_from_replica(None)


def run_with_faults(seed: int, rounds: int = 4, faults_in_round: int = 8) -> OwnershipSite:
    """Injects faults at random times; after each round, ownership must settle in time."""
    site = OwnershipSite(ENTRY_HOST_COUNT, seed)
    injector = FaultInjector(site)
    for _ in range(rounds):
        for _ in range(faults_in_round):
            site.run_for(site.random.choice([50, 300, 1_000, 4_000, 12_000]))
            injector.inject()
        site.run_for(1_000)
        injector.end_all()
        # A lease that wasn't renewed during the last fault may still expire after its end.
        site.run_for(LEASE_TTL_MS)
        site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS - LEASE_TTL_MS)
        epoch = site.record.epoch
        site.run_for(3_000)
        assert site.record.epoch == epoch, "the ownership record changed without any fault"
        lost = site.random.choice(site.live_hosts)
        lost.reactor.kill()
        site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)
        site.start_host(number_of(lost))
    return site


@pytest.mark.parametrize("seed", range(4))
def test_ownership_settles_after_random_faults(seed: int) -> None:
    run_with_faults(seed)


def run_racing_proposers(seed: int) -> None:
    """Delays the first proposer's write, so that it arrives after those of other proposers."""
    site = settled_site(seed)
    for delay_ms in range(400, 1_300, 200):
        slow, *_, lost = sorted(site.live_hosts, key=lambda host: host.name)
        slow.platform.write_delay_ms = delay_ms
        lost.reactor.kill()
        site.run_until(partial(owns_nothing, site, lost), TAKE_OVER_TIMEOUT_MS)
        site.start_host(number_of(lost))
        site.run_for(3_000)
        slow.platform.write_delay_ms = 0
        site.run_until(site.has_converged, RECOVERY_TIMEOUT_MS)


@pytest.mark.parametrize("seed", range(2))
def test_racing_proposers_write_one_record_per_epoch(seed: int) -> None:
    run_racing_proposers(seed)


def skip_compare_and_swap(patch: pytest.MonkeyPatch) -> None:
    """Makes every write unconditional, without compare-and-swap."""
    original = KeyValueStore.put

    def put(self: Any, key: str, value: Any, expected_version: int, lease: str = "") -> Any:
        return original(self, key, value, self._version(key), lease)

    patch.setattr(KeyValueStore, "put", put)


def keep_same_epoch(patch: pytest.MonkeyPatch) -> None:
    """Changes the ownership record without increasing the epoch."""

    def next_record(record: Any, members: Any, scopes: Any) -> Any:
        proposal = assignment.next_record(record, members, scopes)
        return proposal and msgspec.structs.replace(proposal, epoch=max(1, record.epoch))

    patch.setattr(membership_module, "next_record", next_record)


def accept_stale_entries(patch: pytest.MonkeyPatch) -> None:
    """Accepts every entry that is read, including earlier versions."""

    def apply(self: Any, entry: Entry) -> None:
        if entry.deleted:
            self._remove(entry.key)
            return
        self._entries[entry.key] = _CachedValue(msgspec.json.encode(entry.value), entry.version)
        self._keys_by_folder.setdefault(entry.key[: entry.key.rfind("/") + 1], set()).add(entry.key)
        self._notify(entry)

    patch.setattr(StateCache, "apply", apply)
    patch.setattr(
        Membership,
        "record",
        property(
            lambda self: self._cache.read(OWNERSHIP_KEY, membership_module.OwnershipRecord)
            or membership_module.EMPTY_RECORD
        ),
    )


def keep_expired_members(patch: pytest.MonkeyPatch) -> None:
    """Never removes a member whose registration expired."""
    patch.setattr(Membership, "_may_reregister", lambda self, member: True)


def reclaim_replaced_name(patch: pytest.MonkeyPatch) -> None:
    """Registers again although a later incarnation has replaced this one."""
    patch.setattr(Membership, "_step_down", lambda self, other: None)
    original = Membership._write_registration

    async def write_registration(self: Any) -> Any:
        self._was_registered = False
        return await original(self)

    patch.setattr(Membership, "_write_registration", write_registration)


def keep_fencing_token(patch: pytest.MonkeyPatch) -> None:
    """Keeps the fencing token of the previous owner when a scope is reassigned."""
    patch.setattr(
        assignment, "_has_same_owner", lambda scope, before, after: scope in before.owned_since
    )


@pytest.mark.parametrize(
    "inject_defect",
    [
        skip_compare_and_swap,
        keep_same_epoch,
        accept_stale_entries,
        keep_expired_members,
        reclaim_replaced_name,
        keep_fencing_token,
    ],
)
def test_injected_defects_violate_invariants(
    inject_defect: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
    background_errors: list[str],
) -> None:
    inject_defect(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(3):
            run_racing_proposers(seed)
            run_with_faults(seed)
    # Some defects also violate an invariant inside a background coroutine, which is reported when
    # the coroutine is garbage-collected.
    gc.collect()
    background_errors.clear()
