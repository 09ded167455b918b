"""Tests of which machines of a maintenance wave are vacated and taken down next."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.maintenance.wave import Machine
from jujubehall.core.maintenance.wave import MachineState
from jujubehall.core.maintenance.wave import OrderedMaintenance
from jujubehall.core.maintenance.wave import Wave
from jujubehall.core.maintenance.wave import WaveProgress
from jujubehall.core.maintenance.wave_plan import plan_wave
from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WaveNumber
from jujubehall.identifiers import WorkerName
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.maintenance.wave_plan import WavePlan

WAVE_DURATION_MS = 600_000
UNCONFIRMED = OrderedMaintenance(MachineName("m0"), WorkerName("w0"), incarnation=1)


def plan(
    site: SmallSite,
    begun: tuple[OrderedMaintenance, ...] = (),
    states: dict[int, MachineState] | None = None,
    max_machines_down: int = 1,
    remaining_ms: int = WAVE_DURATION_MS,
) -> WavePlan:
    """Plans a wave over all machines of ``site``; ``begun`` is what has been ordered so far."""
    count = len(site.listed)
    wave = Wave(
        WaveNumber(1),
        tuple(MachineName(f"m{number}") for number in range(count)),
        WAVE_DURATION_MS,
        max_machines_down,
    )
    machines = [
        Machine(
            MachineName(f"m{number}"),
            (states or {}).get(number, MachineState.UP),
            WorkerName(f"w{number}"),
        )
        for number in range(count)
    ]
    return plan_wave(
        wave, WaveProgress(0, begun), machines, site.fleet_state, site.now_ms, remaining_ms
    )


def names(machines: list[Any]) -> list[str]:
    return [machine.name for machine in machines]


def test_no_more_machines_than_allowed_are_down() -> None:
    site = SmallSite(workers=4)
    assert names(plan(site, max_machines_down=2).machines_to_begin) == ["m0", "m1"]
    states = {0: MachineState.IN_MAINTENANCE}
    confirmed = msgspec.structs.replace(UNCONFIRMED, is_confirmed=True)
    assert names(plan(site, (confirmed,), states, max_machines_down=2).machines_to_begin) == ["m1"]


def test_unconfirmed_order_counts_as_down_and_is_repeated() -> None:
    planned = plan(SmallSite(workers=2), (UNCONFIRMED,))
    assert planned.machines_to_begin == []
    assert planned.orders_to_repeat == [UNCONFIRMED]
    assert planned.workers_to_vacate == {"w0"}


def test_order_is_not_repeated_while_it_would_end_work() -> None:
    site = SmallSite(workers=1)
    site.submit("job", step(needs=EIGHT_GPUS), queue=OVERNIGHT)
    site.start_groups()
    planned = plan(site, (UNCONFIRMED,))
    assert planned.orders_to_repeat == []
    assert len(planned.groups_to_stop) == 1


def test_machine_no_longer_counts_as_down_once_its_worker_has_restarted() -> None:
    site = SmallSite(workers=2)
    confirmed = msgspec.structs.replace(UNCONFIRMED, is_confirmed=True)
    assert plan(site, (confirmed,)).machines_to_begin == []
    site.worker(0).update_listing(msgspec.structs.replace(site.worker(0).listed, incarnation=2))
    assert names(plan(site, (confirmed,)).machines_to_begin) == ["m1"]


def test_machine_counts_as_down_while_its_worker_is_listed_with_an_earlier_incarnation() -> None:
    site = SmallSite(workers=2)
    begun = msgspec.structs.replace(UNCONFIRMED, incarnation=2, is_confirmed=True)
    assert plan(site, (begun,)).machines_to_begin == []
    site.report(0, incarnation=2)
    assert plan(site, (begun,)).machines_to_begin == []
    site.report(0, incarnation=3)
    assert names(plan(site, (begun,)).machines_to_begin) == ["m1"]


def test_work_without_checkpoints_is_stopped_only_if_the_wave_would_be_late() -> None:
    site = SmallSite(workers=1)
    site.submit("job", step(needs=EIGHT_GPUS), queue=OVERNIGHT)
    (group,) = site.start_groups()
    planned = plan(site)
    assert planned.workers_to_vacate == {"w0"}
    assert (planned.groups_to_stop, planned.machines_to_begin) == ([], [])
    assert plan(site, remaining_ms=3_000).groups_to_stop == [group]


def test_work_with_checkpoints_is_stopped_at_once() -> None:
    site = SmallSite(workers=1)
    site.submit("job", step(needs=EIGHT_GPUS, saves_checkpoints=True), queue=OVERNIGHT)
    (group,) = site.start_groups()
    assert plan(site).groups_to_stop == [group]


def test_machine_on_which_the_least_work_would_be_lost_is_taken_first() -> None:
    site = SmallSite(workers=2)
    site.submit("job", step(needs=EIGHT_GPUS), queue=OVERNIGHT)
    (group,) = site.start_groups()
    (placement,) = group.placements.values()
    empty_machine = 1 - int(placement.worker.name[1:])
    assert names(plan(site).machines_to_begin) == [f"m{empty_machine}"]


def test_no_more_tasks_of_a_service_are_stopped_than_may_be_unavailable() -> None:
    site = SmallSite(workers=2)
    # Such a service isn't placed on accelerators that are guaranteed.
    site.fleet_state.apply_configuration(
        msgspec.structs.replace(CONFIGURATION, version=2, teams=())
    )
    service = step(tasks=2, needs=EIGHT_GPUS, runs_until_cancelled=True, max_unavailable=1)
    site.submit("service", service)
    groups = site.start_groups()
    assert plan(site, max_machines_down=2, remaining_ms=0).groups_to_stop == []
    for group in groups:
        (placement,) = group.placements.values()
        running = RunningTask(group.task_id(group.indexes.start), placement.run, percent=100)
        site.report(int(placement.worker.name[1:]), (running,))
    (first,) = plan(site, max_machines_down=2, remaining_ms=0).groups_to_stop
    site.fleet_state.mark_stopping(first)
    assert plan(site, max_machines_down=2, remaining_ms=0).groups_to_stop == []


def test_wave_is_done_once_every_machine_is_up_again() -> None:
    site = SmallSite(workers=1)
    confirmed = msgspec.structs.replace(UNCONFIRMED, is_confirmed=True)
    assert not plan(site, (confirmed,), {0: MachineState.IN_MAINTENANCE}).is_done
    site.worker(0).update_listing(msgspec.structs.replace(site.worker(0).listed, incarnation=2))
    assert plan(site, (confirmed,)).is_done
