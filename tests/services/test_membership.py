"""Membership and ownership under kills, pauses, cuts, outages, stale reads and lost answers."""

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
from jujubehall.services.membership import LEASE_TTL_MS
from jujubehall.services.membership import RETURN_GRACE_MS
from jujubehall.services.membership import Membership
from jujubehall.services.state_cache import StateCache
from jujubehall.services.state_cache import _Kept
from jujubehall.services.timing import start
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.ownership_site import OwnershipHost
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.platform.entry import Entry

SIZE = 5
TAKE_OVER_MS = 6_000
"""A lease, a renewal and the turns of the other members."""

RECOVERY_MS = 25_000
"""The longest back-off and call, the grace after an outage, a lease and the turns."""

LONG_OUTAGE_MS = 40_000


@pytest.fixture
def site() -> OwnershipSite:
    return settled_site(1)


def settled_site(seed: int) -> OwnershipSite:
    site = OwnershipSite(SIZE, seed)
    site.run_until(site.is_settled, RECOVERY_MS)
    site.run_for(RETURN_GRACE_MS)
    return site


def number_of(host: OwnershipHost) -> int:
    return int(host.name.rsplit("-", 1)[1])


def owner_names(site: OwnershipSite) -> dict[str, str]:
    return dict(site.record.owners)


def owns_nothing(site: OwnershipSite, host: OwnershipHost) -> bool:
    return host.name not in site.record.owners.values()


def only_moved_from(before: dict[str, str], after: dict[str, str], names: set[str]) -> bool:
    return all(before[scope] in names for scope in before if before[scope] != after[scope])


@pytest.mark.parametrize("number", range(SIZE))
def test_a_dead_owner_is_replaced_and_only_its_scopes_move(
    site: OwnershipSite, number: int
) -> None:
    before = owner_names(site)
    host = list(site.hosts.values())[number]
    host.reactor.kill()
    site.run_until(site.is_settled, TAKE_OVER_MS)
    assert only_moved_from(before, owner_names(site), {host.name})


def test_a_planned_stop_hands_over_before_it_leaves(site: OwnershipSite) -> None:
    host = site.hosts[next(iter(site.hosts))]
    stopped = start(host.stop())
    took_ms = site.run_until(partial(owns_nothing, site, host), 2_000)
    assert not stopped.called or took_ms < 2_000
    site.run_until(lambda: bool(stopped.called), 1_000)
    site.run_until(site.is_settled, 2_000)


def test_the_last_entry_host_stops_without_a_successor() -> None:
    site = OwnershipSite(1, 1)
    site.run_until(site.is_settled, RECOVERY_MS)
    stopped = start(site.live[0].stop())
    site.run_until(lambda: bool(stopped.called), 1_000)


def test_a_paused_owner_that_wakes_owns_nothing_of_what_others_took(site: OwnershipSite) -> None:
    host = site.hosts[next(iter(site.hosts))]
    host.reactor.freeze()
    site.run_until(partial(owns_nothing, site, host), TAKE_OVER_MS)
    host.reactor.thaw()
    site.run_until(site.is_settled, RECOVERY_MS)
    assert host.membership.record == site.record


def test_nothing_moves_when_all_leases_lapse_in_an_outage(site: OwnershipSite) -> None:
    epoch = site.record.epoch
    site.network.platform_down = True
    site.run_for(LONG_OUTAGE_MS)
    site.store.expire_leases()
    assert not site.store.list_entries(MEMBERS_PREFIX).entries
    site.network.platform_down = False
    site.run_for(RECOVERY_MS)
    assert site.is_settled()
    assert site.record.epoch == epoch


@pytest.mark.parametrize("seed", range(3))
def test_only_the_scopes_of_hosts_lost_in_an_outage_move(seed: int) -> None:
    site = settled_site(seed)
    before = owner_names(site)
    site.network.platform_down = True
    site.run_for(5_000)
    lost = site.random.sample(site.live, 2)
    for host in lost:
        host.reactor.kill()
    site.run_for(LONG_OUTAGE_MS)
    site.network.platform_down = False
    site.run_until(site.is_settled, RECOVERY_MS)
    assert only_moved_from(before, owner_names(site), {host.name for host in lost})


def test_hosts_restarted_during_an_outage_take_over_from_themselves(site: OwnershipSite) -> None:
    site.network.platform_down = True
    site.run_for(5_000)
    for host in list(site.hosts.values())[:2]:
        host.reactor.kill()
        site.start_host(number_of(host))
    site.run_for(LONG_OUTAGE_MS)
    site.network.platform_down = False
    site.run_until(site.is_settled, RECOVERY_MS)


@pytest.mark.parametrize("cut_ms", [500, 1_000, 1_500])
def test_a_short_cut_costs_no_ownership(site: OwnershipSite, cut_ms: int) -> None:
    record = site.record
    for host in site.live:
        site.network.cut(host.name, PLATFORM)
        site.run_for(cut_ms)
        site.network.join_all()
        site.run_for(RECOVERY_MS // 4)
    assert site.record == record


def test_a_host_cut_off_from_the_platform_alone_loses_its_scopes(site: OwnershipSite) -> None:
    host = site.hosts[next(iter(site.hosts))]
    site.network.cut(host.name, PLATFORM)
    site.run_until(partial(owns_nothing, site, host), TAKE_OVER_MS)
    site.network.join_all()
    site.run_until(site.is_settled, RECOVERY_MS)


def test_a_host_cut_off_after_an_outage_keeps_its_scopes_for_the_grace_only(
    site: OwnershipSite,
) -> None:
    host = site.hosts[next(iter(site.hosts))]
    site.network.platform_down = True
    site.run_for(LONG_OUTAGE_MS)
    site.network.cut(host.name, PLATFORM)
    site.network.platform_down = False
    took_ms = site.run_until(partial(owns_nothing, site, host), RECOVERY_MS)
    assert took_ms >= RETURN_GRACE_MS / 2


def test_a_restarted_host_with_the_same_name_ends_its_paused_predecessor(
    site: OwnershipSite,
) -> None:
    earlier = site.hosts[next(iter(site.hosts))]
    earlier.reactor.freeze()
    later = site.start_host(number_of(earlier))
    site.run_until(site.is_settled, RECOVERY_MS)
    earlier.reactor.thaw()
    site.run_for(5_000)
    assert earlier.membership.is_replaced
    assert not earlier.membership.is_member
    assert later.membership.is_member
    assert site.is_settled()


def test_of_two_incarnations_that_both_were_registered_the_later_stays(
    site: OwnershipSite,
) -> None:
    earlier = site.hosts[next(iter(site.hosts))]
    earlier.reactor.freeze()
    later = site.start_host(number_of(earlier))
    site.run_until(site.is_settled, RECOVERY_MS)
    later.reactor.freeze()
    site.run_for(TAKE_OVER_MS)
    # The earlier one registers in the absence of the later one, which then wakes.
    earlier.reactor.thaw()
    site.run_for(TAKE_OVER_MS)
    assert earlier.membership.is_member
    later.reactor.thaw()
    site.run_until(lambda: earlier.membership.is_replaced, TAKE_OVER_MS)
    site.run_until(site.is_settled, RECOVERY_MS)
    assert not later.membership.is_replaced


def test_rolling_replacement_of_all_hosts_settles_each_time(site: OwnershipSite) -> None:
    for number in range(SIZE):
        host = list(site.hosts.values())[number]
        stopped = start(host.stop())
        site.run_until(lambda: bool(stopped.called), 8_000)  # noqa: B023
        site.start_host(number)
        site.run_until(site.is_settled, RECOVERY_MS)


def test_a_lost_record_is_written_again_with_a_higher_epoch(site: OwnershipSite) -> None:
    epoch = site.record.epoch
    version = site.live[0].cache.version(OWNERSHIP_KEY)
    # The check of the stored epoch must not see the gap, which is the platform's fault.
    site.store.delete(OWNERSHIP_KEY, version)
    while site.record.epoch == 0:
        site._advance(50)
    assert site.record.epoch == epoch + 1
    site.run_until(site.is_settled, RECOVERY_MS)


def test_zones_keep_their_owners_while_the_list_of_hosts_is_empty(site: OwnershipSite) -> None:
    record = site.record
    for host in site.live:
        host.membership._zones = list
    site.run_for(3_000)
    assert site.record == record


class Faults:
    """Draws faults from the site's seed, and ends all of them on demand."""

    def __init__(self, site: OwnershipSite) -> None:
        self._site = site
        self.counts: dict[str, int] = {}

    def inject(self) -> None:
        kinds: list[Callable[[], None]] = [
            self.kill,
            self.restart,
            self.freeze,
            self.thaw,
            self.replace_paused,
            self.stop_and_start,
            self.cut_platform,
            self.cut_peers,
            self.join,
            self.outage,
            self.end_outage,
            self.lose_answers,
            self.slow_platform,
            self.stale_reads,
            self.fresh_reads,
        ]
        fault = self._site.random.choice(kinds)
        self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
        fault()

    def end_all(self) -> None:
        network = self._site.network
        network.join_all()
        network.platform_down = False
        network.platform_delay_ms = 0
        network.lost_answer_share = 0.0
        for host in (*self._site.hosts.values(), *self._site.earlier):
            host.platform.read_from(None)
            host.reactor.thaw()
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

    def freeze(self) -> None:
        self._any().reactor.freeze()

    def thaw(self) -> None:
        for host in (*self._site.hosts.values(), *self._site.earlier):
            host.reactor.thaw()

    def replace_paused(self) -> None:
        host = self._any()
        host.reactor.freeze()
        self._site.start_host(number_of(host))

    def stop_and_start(self) -> None:
        host = self._any()
        if host.is_live:
            start(host.stop())
            self._site.run_for(500)
            self._site.start_host(number_of(host))

    def cut_platform(self) -> None:
        self._site.network.cut(self._any().name, PLATFORM)

    def cut_peers(self) -> None:
        self._site.network.cut(self._any().name, self._any().name)

    def join(self) -> None:
        self._site.network.join_all()

    def outage(self) -> None:
        self._site.network.platform_down = True

    def end_outage(self) -> None:
        self._site.network.platform_down = False

    def lose_answers(self) -> None:
        self._site.network.lost_answer_share = self._site.random.choice([0.0, 0.2, 0.8])

    def slow_platform(self) -> None:
        self._site.network.platform_delay_ms = self._site.random.choice(
            [0, 100, 400, 900, 1_500, 2_500]
        )

    def stale_reads(self) -> None:
        self._any().platform.read_from(self._site.store.snapshot())

    def fresh_reads(self) -> None:
        for host in self._site.hosts.values():
            host.platform.read_from(None)


def disturb(seed: int, rounds: int = 4, faults_in_round: int = 8) -> OwnershipSite:
    """Injects faults at random moments; after each round everything must settle in time."""
    site = OwnershipSite(SIZE, seed)
    faults = Faults(site)
    for _ in range(rounds):
        for _ in range(faults_in_round):
            site.run_for(site.random.choice([50, 300, 1_000, 4_000, 12_000]))
            faults.inject()
        site.run_for(1_000)
        faults.end_all()
        # A lease that was not renewed during the last fault lapses after its end.
        site.run_for(LEASE_TTL_MS)
        site.run_until(site.is_settled, RECOVERY_MS - LEASE_TTL_MS)
        epoch = site.record.epoch
        site.run_for(3_000)
        assert site.record.epoch == epoch, "the record changes although nothing happens"
        lost = site.random.choice(site.live)
        lost.reactor.kill()
        site.run_until(site.is_settled, RECOVERY_MS)
        site.start_host(number_of(lost))
    return site


@pytest.mark.parametrize("seed", range(4))
def test_ownership_survives_mixed_faults(seed: int) -> None:
    disturb(seed)


def race_proposers(seed: int) -> None:
    """Lets the first proposer's write arrive after the records of the others."""
    site = settled_site(seed)
    for delay_ms in range(400, 1_300, 200):
        slow, *_, lost = sorted(site.live, key=lambda host: host.name)
        slow.platform.write_delay_ms = delay_ms
        lost.reactor.kill()
        site.run_until(partial(owns_nothing, site, lost), TAKE_OVER_MS)
        site.start_host(number_of(lost))
        site.run_for(3_000)
        slow.platform.write_delay_ms = 0
        site.run_until(site.is_settled, RECOVERY_MS)


@pytest.mark.parametrize("seed", range(2))
def test_proposers_that_race_make_one_record_for_each_epoch(seed: int) -> None:
    race_proposers(seed)


def blind_writes(patch: pytest.MonkeyPatch) -> None:
    """Writes without compare-and-swap."""
    original = KeyValueStore.put

    def put(self: Any, key: str, value: Any, expected_version: int, lease: str = "") -> Any:
        return original(self, key, value, self._version(key), lease)

    patch.setattr(KeyValueStore, "put", put)


def same_epoch(patch: pytest.MonkeyPatch) -> None:
    """Changes the record without raising the epoch."""

    def next_record(record: Any, members: Any, scopes: Any) -> Any:
        proposal = assignment.next_record(record, members, scopes)
        return proposal and msgspec.structs.replace(proposal, epoch=max(1, record.epoch))

    patch.setattr(membership_module, "next_record", next_record)


def stale_record(patch: pytest.MonkeyPatch) -> None:
    """Takes over whatever was read last."""

    def apply(self: Any, entry: Entry) -> None:
        if entry.deleted:
            self._remove(entry.key)
            return
        self._entries[entry.key] = _Kept(msgspec.json.encode(entry.value), entry.version)
        self._folders.setdefault(entry.key[: entry.key.rfind("/") + 1], set()).add(entry.key)
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


def dead_members_kept(patch: pytest.MonkeyPatch) -> None:
    """Never removes a member that may return."""
    patch.setattr(Membership, "_may_return", lambda self, member: True)


def names_fought_over(patch: pytest.MonkeyPatch) -> None:
    """Takes the name back from a later incarnation."""
    patch.setattr(Membership, "_step_down", lambda self, other: None)
    original = Membership._write_member

    async def write_member(self: Any) -> Any:
        self._was_registered = False
        return await original(self)

    patch.setattr(Membership, "_write_member", write_member)


def token_not_renewed(patch: pytest.MonkeyPatch) -> None:
    """Gives a new owner the fencing token of the old one."""
    patch.setattr(assignment, "_kept", lambda scope, before, after: scope in before.owned_since)


@pytest.mark.parametrize(
    "break_it",
    [
        blind_writes,
        same_epoch,
        stale_record,
        dead_members_kept,
        names_fought_over,
        token_not_renewed,
    ],
)
def test_the_invariants_catch_a_broken_variant(
    break_it: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
    background_errors: list[str],
) -> None:
    break_it(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(3):
            race_proposers(seed)
            disturb(seed)
    # Some variants also break an invariant inside a background coroutine; it is reported when
    # the coroutine is collected.
    gc.collect()
    background_errors.clear()
