"""Workers that are slower by a third are learned, and left to work that has time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup

SLOW = "w1"
DURATION_MS = 2_000
SLOW_DURATION_MS = 2_600


def run_gang_on_all_workers(site: SmallSite, name: str) -> None:
    """Runs a gang on all workers, on which ``SLOW`` takes a third longer than the others."""
    site.submit(name, step(tasks=4, needs=EIGHT_GPUS, is_gang=True, expected_ms=DURATION_MS))
    (group,) = site.start_groups()
    for elapsed_ms in (500, 1_000):
        site.now_ms += 500
        for index, placement in group.placements.items():
            duration_ms = SLOW_DURATION_MS if placement.worker.name == SLOW else DURATION_MS
            percent = 100 * elapsed_ms // duration_ms
            running = RunningTask(group.task_id(index), placement.run, percent=percent)
            site.report(int(placement.worker.name[1:]), (running,))
            site.now_ms -= 10
    site.end(group, EndKind.DONE)
    site.now_ms += 5_000


def workers_of(groups: list[TaskGroup]) -> set[str]:
    return {placement.worker.name for group in groups for placement in group.placements.values()}


def site_with_a_slow_worker() -> SmallSite:
    site = SmallSite(workers=4, rack_size=4)
    for number in range(3):
        run_gang_on_all_workers(site, f"gang {number}")
    return site


def test_urgent_gang_avoids_the_slow_worker() -> None:
    site = site_with_a_slow_worker()
    assert [
        name for name, each in site.fleet_state.workers.items() if each.speed.speed_class > 0
    ] == [SLOW]
    gang = step(tasks=3, needs=EIGHT_GPUS, is_gang=True, prefers_one_rack=True)
    site.submit("urgent", gang, queue=URGENT)
    assert workers_of(site.start_groups()) == {"w0", "w2", "w3"}


def test_overnight_tasks_leave_fast_workers_to_others() -> None:
    site = site_with_a_slow_worker()
    site.submit("night", step(tasks=8, expected_ms=9_000), queue=OVERNIGHT)
    assert workers_of(site.start_groups()) == {SLOW}


def test_slow_worker_is_used_if_the_others_are_full() -> None:
    site = site_with_a_slow_worker()
    gang = step(tasks=4, needs=EIGHT_GPUS, is_gang=True, prefers_one_rack=True)
    site.submit("urgent", gang, queue=URGENT)
    assert SLOW in workers_of(site.start_groups())
