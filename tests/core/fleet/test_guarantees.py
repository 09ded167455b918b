"""A team can reclaim what it is guaranteed from all work that isn't within a guarantee itself."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.disruption import may_disrupt
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from tests.core.fleet.small_site import CAPACITY
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.identifiers import QueueName

OWNER = TeamName("owner")
OTHER = TeamName("other")
LONG_MS = 60_000
FOUR_GPUS = Resources(1_000, 1_000, 4)


def make_site(workers: int = 4, rack_size: int = 2, **guaranteed: int) -> SmallSite:
    """Returns a site on which teams are guaranteed so many accelerators, by default 8 each."""
    site = SmallSite(workers, rack_size)
    guarantees = guaranteed or {OWNER: 8, OTHER: 8}
    teams = tuple(Team(TeamName(name), frozenset(), each) for name, each in guarantees.items())
    site.fleet_state.apply_configuration(
        msgspec.structs.replace(CONFIGURATION, version=2, teams=teams)
    )
    return site


def service(tasks: int, needs: Resources = EIGHT_GPUS, **more: Any) -> Any:
    """Returns a step whose tasks run until they are cancelled."""
    return step(tasks, needs, runs_until_cancelled=True, **more)


def report_at_work(site: SmallSite) -> None:
    """Reports all runs of the site as being at work."""
    for number in range(len(site.fleet_state.workers)):
        site.report(
            number,
            tuple(
                RunningTask(group.task_id(index), placement.run, percent=100)
                for (group, index), placement in site.worker(number).placements.items()
            ),
        )


def fill(site: SmallSite, *steps: Any, queue: QueueName, team: TeamName) -> FleetJob:
    """Submits a job, starts as much of it as there is room for, and reports that as at work."""
    job = site.submit(f"fill {queue} {len(site.fleet_state.jobs)}", *steps, queue=queue, team=team)
    site.start_groups()
    report_at_work(site)
    return job


def reclaim(site: SmallSite, *steps: Any, team: TeamName = OWNER) -> FleetJob:
    """Submits an urgent job and plays the stops for it; returns the job."""
    job = site.submit("reclaim", *steps, queue=URGENT, team=team)
    for _ in range(3):
        stops = [each for each in site.run_scheduling_round() if isinstance(each, StopGroup)]
        for each in stops:
            site.end(each.group, EndKind.STOPPED)
    return job


def has_begun(job: FleetJob) -> bool:
    """Returns whether all tasks of the job's first step have been started."""
    return all(len(each.placements) == len(each.indexes) for each in job.groups[0, 0])


@pytest.mark.parametrize("queue", [NORMAL, OVERNIGHT])
@pytest.mark.parametrize("team", [OWNER, OTHER])
def test_reclaims_from_services_of_lower_priority(queue: QueueName, team: TeamName) -> None:
    """Guards against a guaranteed job that waits until a service is cancelled (review/12)."""
    site = make_site()
    fill(site, service(4), queue=queue, team=team)
    assert has_begun(reclaim(site, step(2, FOUR_GPUS)))


def test_reclaims_from_urgent_services_beyond_their_guarantee() -> None:
    """Guards against services that use a guarantee of others because they are urgent themselves."""
    site = make_site()
    running = fill(site, service(4), queue=URGENT, team=OTHER)
    assert has_begun(reclaim(site, step(1, EIGHT_GPUS)))
    assert sum(bool(each.placements) for each in running.all_groups()) == 3


def test_service_within_its_guarantee_is_not_stopped() -> None:
    """Guards against one guarantee being met at the expense of another."""
    site = make_site(workers=1)
    running = fill(site, service(1), queue=URGENT, team=OTHER)
    assert not has_begun(reclaim(site, step(1, EIGHT_GPUS)))
    assert all(each.placements for each in running.all_groups())


def test_work_beyond_the_guarantee_stops_no_service() -> None:
    """Guards against urgent work that takes from services what nobody has promised it."""
    site = make_site()
    fill(site, service(4), queue=NORMAL, team=OTHER)
    assert not has_begun(reclaim(site, step(1, EIGHT_GPUS), team=TeamName("none")))


@pytest.mark.parametrize("data_rack", ["r0", "rack without workers"])
def test_rack_of_the_data_is_a_preference(data_rack: str) -> None:
    """Guards against a guaranteed job that waits for the rack of its data (review/12)."""
    site = make_site()
    local = step(2, EIGHT_GPUS, expected_ms=LONG_MS, data_rack=RackName("r0"))
    site.fleet_state.apply_configuration(
        msgspec.structs.replace(
            site.fleet_state.configuration,
            version=3,
            teams=(Team(OWNER, frozenset(), 8), Team(OTHER, frozenset(), 16)),
        )
    )
    fill(site, local, queue=URGENT, team=OTHER)
    fill(site, step(2, EIGHT_GPUS, expected_ms=LONG_MS), queue=NORMAL, team=OTHER)
    assert has_begun(reclaim(site, step(1, EIGHT_GPUS, data_rack=RackName(data_rack))))


@pytest.mark.parametrize("kept_by", ["rack", "limit"])
def test_gang_is_placed_across_racks_if_no_single_rack_can_hold_it(kept_by: str) -> None:
    """Guards against a guaranteed gang that waits for one rack, although its rack is a wish."""
    site = make_site(rack_size=1 if kept_by == "rack" else 2, owner=16, other=0)
    fill(site, step(4, EIGHT_GPUS, expected_ms=LONG_MS), queue=NORMAL, team=OTHER)
    tasks, needs, limit = (2, EIGHT_GPUS, 0) if kept_by == "rack" else (4, FOUR_GPUS, 1)
    gang = step(tasks, needs, is_gang=True, prefers_one_rack=True, tasks_per_worker=limit)
    assert has_begun(reclaim(site, gang))


def test_expected_end_of_a_service_is_not_waited_for() -> None:
    """Guards against waiting for a service, whose percentage looks like that of other work."""
    site = make_site(workers=1)
    (group,) = fill(site, service(1), queue=NORMAL, team=OTHER).all_groups()
    (placement,) = group.placements.values()
    placement.progress.record(99, site.now_ms + 500)
    site.now_ms += 500
    site.submit("reclaim", step(1, EIGHT_GPUS), queue=URGENT, team=OWNER)
    assert [each for each in site.run_scheduling_round(1) if isinstance(each, StopGroup)]


def test_reservation_of_other_work_gives_way() -> None:
    """Guards against capacity that is kept for work that nobody has promised anything."""
    site = make_site(workers=1)
    other = site.submit("other", step(1, EIGHT_GPUS), queue=URGENT, team=TeamName("none"))
    (group,) = other.all_groups()
    group.reserve({0: site.worker(0)}, site.now_ms + 10_000)
    job = site.submit("reclaim", step(1, EIGHT_GPUS), queue=URGENT, team=OWNER)
    site.start_groups()
    assert has_begun(job)
    assert not group.reserved_workers


def test_fillers_give_way_to_a_service_with_a_latency_target() -> None:
    """Guards against fillers that keep guaranteed services away by being on each worker."""
    site = make_site(workers=2)
    filler = service(2, Resources(1_000, 1_000, 0), is_filler=True, tasks_per_worker=1)
    fill(site, filler, queue=OVERNIGHT, team=OTHER)
    target = service(1, FOUR_GPUS, target_latency_ms=100)
    assert has_begun(reclaim(site, target))


def test_slow_workers_are_reclaimed_after_a_while() -> None:
    """Guards against a guaranteed job that waits until its only workers are fast again."""
    site = make_site(workers=1)
    fill(site, step(1, EIGHT_GPUS, expected_ms=LONG_MS), queue=NORMAL, team=OTHER)
    site.worker(0).set_health(4.0, False, site.now_ms + LONG_MS)
    job = reclaim(site, step(1, EIGHT_GPUS))
    assert not has_begun(job)
    for _ in range(3):
        for each in site.run_scheduling_round(500):
            if isinstance(each, StopGroup):
                site.end(each.group, EndKind.STOPPED)
    assert has_begun(job)


def test_limit_of_a_service_holds_while_it_gives_way() -> None:
    """Guards against stops that leave more of a service unavailable than it allows (AVAIL)."""
    site = make_site(workers=4, owner=16, other=0)
    running = site.submit("service", service(4, max_unavailable=1), queue=NORMAL, team=OTHER)
    place(site, running.all_groups(), (0, 1, 2, 3))
    job = reclaim(site, step(2, EIGHT_GPUS))
    report_at_work(site)
    assert sum(bool(each.placements) for each in running.all_groups()) == 3
    assert sum(bool(each.placements) for each in job.all_groups()) == 1


def test_stops_of_services_are_chosen_together() -> None:
    """Guards against a stop that uses up the limit of a service without making enough room."""
    site = make_site(workers=2, owner=8, other=0)
    first = service(3, FOUR_GPUS, max_unavailable=1)
    second = service(1, FOUR_GPUS, max_unavailable=1)
    one = site.submit("first service", first, queue=NORMAL, team=OTHER)
    two = site.submit("second service", second, queue=NORMAL, team=OTHER)
    place(site, one.all_groups(), (0, 0, 1))
    place(site, two.all_groups(), (1,))
    assert has_begun(reclaim(site, step(1, EIGHT_GPUS)))


def place(site: SmallSite, groups: Any, numbers: tuple[int, ...]) -> None:
    """Places single tasks on the workers with these numbers, and reports them as at work."""
    for group, number in zip(groups, numbers, strict=True):
        site.fleet_state.record_start(
            group, {group.indexes.start: site.worker(number)}, site.now_ms
        )
    report_at_work(site)


def test_unreachable_tasks_of_a_service_count_as_unavailable() -> None:
    """Guards against a stop beside a task whose worker has just crashed."""
    site = make_site(workers=2, owner=8, other=0)
    running = site.submit("service", service(2, max_unavailable=1), queue=NORMAL, team=OTHER)
    first, second = running.all_groups()
    place(site, [first, second], (0, 1))
    assert may_disrupt(second)
    site.worker(0).is_reachable = False
    assert not may_disrupt(second)
    assert not has_begun(reclaim(site, step(1, EIGHT_GPUS)))


class TestRoom:
    """What may not be stopped in time doesn't fill what guarantees need."""

    def placed(self, job: FleetJob) -> int:
        """Returns how many groups of a job have been placed."""
        return sum(bool(each.placements) for each in job.all_groups())

    @pytest.mark.parametrize(("max_unavailable", "expected"), [(0, 6), (1, 4), (3, 6), (6, 6)])
    def test_when_placing(self, max_unavailable: int, expected: int) -> None:
        """Guards against a service that fills an idle site and can't be stopped in time."""
        site = make_site(workers=6)
        job = fill(site, service(6, max_unavailable=max_unavailable), queue=NORMAL, team=OTHER)
        assert self.placed(job) == expected

    def test_small_tasks_leave_whole_workers(self) -> None:
        """Guards against services that leave accelerators, but on no worker enough of them."""
        site = make_site(workers=4, owner=8, other=12)
        one_each = service(4, Resources(1_000, 1_000, 1), tasks_per_worker=1, max_unavailable=1)
        job = fill(site, one_each, queue=NORMAL, team=OTHER)
        assert self.placed(job) == 2

    def test_within_a_guarantee(self) -> None:
        """Guards against services that are kept from what their own team is guaranteed."""
        site = make_site(workers=2)
        job = fill(site, service(1, max_unavailable=1), queue=URGENT, team=OWNER)
        assert self.placed(job) == 1
        assert self.placed(fill(site, service(1, max_unavailable=1), queue=URGENT, team=OTHER)) == 1

    def test_without_guarantees(self) -> None:
        """Guards against services that wait although nobody is guaranteed anything."""
        site = make_site(workers=2, owner=0)
        job = fill(site, service(2, max_unavailable=1), queue=NORMAL, team=OTHER)
        assert self.placed(job) == 2

    def test_after_a_fault(self) -> None:
        """Guards against a service that restarts on the workers which others have left."""
        site = make_site(workers=4)
        job = fill(site, service(2, max_unavailable=1), queue=NORMAL, team=OTHER)
        assert self.placed(job) == 2
        lost = next(each for each in job.all_groups())
        worker = lost.placements[lost.indexes.start].worker
        worker.is_reachable = False
        lost.remove_placement(lost.indexes.start)
        lost.not_before_ms = site.now_ms
        site.start_groups()
        # Of three workers, two are left to guarantees; of the two tasks one may be stopped.
        assert self.placed(job) == 2
        others = fill(site, service(2, max_unavailable=1), queue=NORMAL, team=OTHER)
        assert self.placed(others) == 0

    def test_after_a_takeover(self) -> None:
        """Guards against services placed before the runs of the earlier owner are known."""
        site = make_site(workers=6)
        for number in range(3):
            site.worker(number).is_reachable = False
        job = fill(site, service(4, max_unavailable=1), queue=NORMAL, team=OTHER)
        assert self.placed(job) == 1
        for number in range(3):
            site.worker(number).is_reachable = True
        site.start_groups()
        report_at_work(site)
        assert self.placed(job) == 4

    def test_when_moving(self) -> None:
        """Guards against a service that is moved from a draining worker into kept room."""
        site = make_site(workers=3)
        job = fill(site, service(3, max_unavailable=1), queue=NORMAL, team=OTHER)
        assert self.placed(job) == 1
        (group,) = (each for each in job.all_groups() if each.placements)
        worker = group.placements[group.indexes.start].worker
        worker.update_listing(msgspec.structs.replace(worker.listed, is_draining=True))
        worker.departure_ms = site.now_ms + 2_000
        assert not any(isinstance(each, StopGroup) for each in site.run_scheduling_round())

    def test_processors_count_by_their_share(self) -> None:
        """Guards against services that leave accelerators without the processors to use them."""
        site = make_site(workers=3)
        half = Resources(CAPACITY.millicores // 2, 1_000, 0)
        apart = service(4, half, max_unavailable=1, tasks_per_worker=1)
        job = fill(site, apart, queue=NORMAL, team=OTHER)
        assert self.placed(job) == 1
        light = Resources(100, 100, 0)
        job = fill(site, service(9, light, max_unavailable=1), queue=NORMAL, team=OTHER)
        assert self.placed(job) == 9
