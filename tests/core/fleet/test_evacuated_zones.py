"""Tests for decisions about evacuated availability zones."""

from __future__ import annotations

import msgspec

from jujubehall.core.fleet.decisions import ReserveCapacity
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.evacuated_zones import EvacuatedZones
from jujubehall.core.fleet.reports import EndKind
from jujubehall.identifiers import ZoneName
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

EAST = ZoneName("east")
WEST = ZoneName("west")
DEADLINE_MS = 5_000
CONFIRMED_MS = 1_000


def two_zone_site(workers: int = 4) -> SmallSite:
    """Returns a site with the workers of even numbers in the east and the others in the west."""
    site = SmallSite(workers)
    site.listed = [
        msgspec.structs.replace(each, zone=WEST if number % 2 else EAST)
        for number, each in enumerate(site.listed)
    ]
    site.fleet_state.sync_workers(site.listed)
    return site


def evacuate(site: SmallSite, *zones: ZoneName) -> None:
    site.fleet_state.set_evacuated_zones(frozenset(zones))


def zones_of(site: SmallSite, name: str) -> set[ZoneName]:
    (job,) = (each for each in site.fleet_state.jobs.values() if each.id == name)
    return {
        placement.worker.listed.zone
        for group in job.all_groups()
        for placement in group.placements.values()
    }


def test_nothing_is_placed_in_an_evacuated_zone() -> None:
    site = two_zone_site()
    evacuate(site, EAST)
    site.submit("single", step(tasks=16))
    site.submit("gang", step(tasks=2, needs=EIGHT_GPUS, is_gang=True), queue=URGENT)
    site.start_groups()
    assert zones_of(site, "single") | zones_of(site, "gang") == {WEST}


def test_worker_that_is_listed_in_an_evacuated_zone_accepts_no_work() -> None:
    site = two_zone_site()
    evacuate(site, EAST)
    new = msgspec.structs.replace(site.listed[0], name="w9", incarnation=2)
    (worker,) = site.fleet_state.sync_workers([*site.listed, new])
    worker.is_reachable = worker.is_registered = True
    assert not worker.accepts_work(site.now_ms)


def test_work_in_an_evacuated_zone_goes_on_and_is_restarted_elsewhere() -> None:
    site = two_zone_site(workers=2)
    site.submit("job", step(tasks=2, needs=EIGHT_GPUS, expected_ms=60_000))
    east, west = sorted(
        site.start_groups(), key=lambda each: next(iter(each.placements.values())).worker.name
    )
    evacuate(site, EAST)
    assert site.run_scheduling_round() == []
    site.end(east, EndKind.FAILED)
    site.end(west, EndKind.DONE)
    (restarted,) = site.start_groups(after_ms=5_000)
    assert restarted is east
    assert zones_of(site, "job") == {WEST}


def test_reservation_in_an_evacuated_zone_is_given_up() -> None:
    site = two_zone_site(workers=2)
    site.submit("batch", step(tasks=2, needs=EIGHT_GPUS, expected_ms=60_000), queue=OVERNIGHT)
    assert len(site.start_groups()) == 2
    urgent = site.submit("urgent", step(needs=EIGHT_GPUS), queue=URGENT)
    decisions = site.run_scheduling_round()
    assert not any(isinstance(each, ReserveCapacity) for each in decisions)
    (group,) = urgent.all_groups()
    (reserved,) = group.reserved_workers.values()
    evacuate(site, reserved.listed.zone)
    site.run_scheduling_round()
    assert reserved not in group.reserved_workers.values()
    assert not group.placements


def test_group_leaves_a_draining_worker_only_if_another_zone_has_room() -> None:
    site = two_zone_site()
    site.submit("job", step(expected_ms=10_000), queue=OVERNIGHT)
    (group,) = site.start_groups()
    name = group.placements[0].worker.name
    leaving = [
        (
            msgspec.structs.replace(each, is_draining=True, leaves_in_ms=4_000)
            if each.name == name
            else each
        )
        for each in site.listed
    ]
    site.fleet_state.sync_workers(leaving, site.now_ms)
    evacuate(site, EAST, WEST)
    assert site.run_scheduling_round() == []
    evacuate(site, EAST)
    (stop,) = site.run_scheduling_round()
    assert isinstance(stop, StopGroup)


def test_incomplete_gang_is_stopped_and_nothing_is_started_while_starts_are_suspended() -> None:
    site = two_zone_site()
    site.submit("gang", step(tasks=4, is_gang=True))
    (start,) = site.run_scheduling_round()
    assert isinstance(start, StartGroup)
    start.group.placements[0].confirm(site.now_ms)
    start.group.remove_placement(1)
    site.submit("job", step())
    site.fleet_state.are_starts_suspended = True
    (stop,) = site.run_scheduling_round()
    assert isinstance(stop, StopGroup)


def test_start_is_refused_in_evacuated_zones_and_while_the_zones_are_not_confirmed() -> None:
    site = two_zone_site(workers=1)
    site.submit("job", step())
    (group,) = site.start_groups()
    placement = group.placements[0]
    zones = EvacuatedZones(DEADLINE_MS)
    assert zones.refusal(group, placement, CONFIRMED_MS) is not None
    zones.confirm(CONFIRMED_MS)
    assert zones.refusal(group, placement, CONFIRMED_MS + 3_999) is None
    assert zones.refusal(group, placement, CONFIRMED_MS + 4_000) is not None
    zones.update({EAST}, CONFIRMED_MS + 1)
    assert zones.refusal(group, placement, CONFIRMED_MS + 1) is not None


def test_partly_started_gang_is_completed_until_the_deadline_may_have_passed() -> None:
    site = two_zone_site(workers=1)
    site.submit("gang", step(tasks=2, is_gang=True))
    (start,) = site.run_scheduling_round()
    assert isinstance(start, StartGroup)
    group = start.group
    zones = EvacuatedZones(DEADLINE_MS)
    zones.confirm(CONFIRMED_MS)
    zones.update({EAST}, CONFIRMED_MS + 1_000)
    zones.confirm(CONFIRMED_MS + 2_000)
    assert zones.refusal(group, group.placements[1], CONFIRMED_MS + 2_000) is not None
    group.placements[0].sent_ms = CONFIRMED_MS
    assert zones.refusal(group, group.placements[1], CONFIRMED_MS + 3_999) is None
    assert zones.refusal(group, group.placements[1], CONFIRMED_MS + 4_000) is not None


def test_evacuation_counts_from_the_first_of_two_requests() -> None:
    zones = EvacuatedZones(DEADLINE_MS)
    zones.confirm(CONFIRMED_MS)
    zones.update({EAST}, 2_000)
    zones.confirm(3_000)
    zones.update({EAST, WEST}, 3_500)
    east, west = zones.evacuation(EAST), zones.evacuation(WEST)
    assert east is not None
    assert west is not None
    assert (east.since_ms, east.last_open_ms) == (2_000, CONFIRMED_MS)
    assert (west.since_ms, west.last_open_ms) == (3_500, 3_000)
