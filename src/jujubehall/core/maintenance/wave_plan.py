"""Decides which machines of a maintenance wave are vacated and taken down next.

This serves waves on fully loaded sites. A machine is first closed to new work, so that the work
running there can end. Work that can resume elsewhere from a checkpoint is moved. Other work is
stopped only if the wave would otherwise be late. The stops never leave more tasks of a service
unavailable than its ``max_unavailable`` allows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.disruption import may_disrupt
from jujubehall.core.fleet.preemption import preemption_loss
from jujubehall.core.maintenance.wave import MachineState

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.core.maintenance.wave import Machine
    from jujubehall.core.maintenance.wave import OrderedMaintenance
    from jujubehall.core.maintenance.wave import Wave
    from jujubehall.core.maintenance.wave import WaveProgress
    from jujubehall.identifiers import MachineName
    from jujubehall.identifiers import WorkerName

MACHINE_TURNAROUND_MS = 4_000
"""How long one machine takes: stopping its work (0.4 s), the maintenance (2 s on the known sites)
and registering its worker in the store (1.5 s)."""


class WavePlan(NamedTuple):
    """The next actions for a wave."""

    workers_to_vacate: set[WorkerName]
    """Workers on which no new work may be started."""

    groups_to_stop: list[TaskGroup]
    machines_to_begin: list[Machine]
    """Machines whose maintenance may begin now, since nothing runs there."""

    orders_to_repeat: list[OrderedMaintenance]
    """Orders with an unknown outcome whose repetition ends no work."""

    is_done: bool


def plan_wave(
    wave: Wave,
    progress: WaveProgress,
    listed: list[Machine],
    fleet_state: FleetState,
    now_ms: int,
    remaining_ms: int,
) -> WavePlan:
    """Plans the next actions; ``remaining_ms`` is the time until the wave should be complete.

    ``listed`` are the machines as listed by the cloud. Among the machines that are up, those on
    which the least work would be lost are taken first.
    """
    machines = {machine.name: machine for machine in listed}
    begun = {each.machine: each for each in progress.begun}
    down = [
        begun[name]
        for name in wave.machines
        if name in begun and not _is_finished(begun[name], machines, fleet_state)
    ]
    waiting = [name for name in wave.machines if name in machines and name not in begun]
    max_new = wave.max_machines_down - len(down)
    candidates = sorted(
        (machines[name] for name in waiting if machines[name].state is MachineState.UP),
        key=lambda machine: (
            _loss_by_vacating(_worker_on(machine, fleet_state), now_ms),
            machine.name,
        ),
    )
    chosen = candidates[: max(0, max_new)]
    is_urgent = remaining_ms < MACHINE_TURNAROUND_MS * (
        -(-len(waiting) // wave.max_machines_down) + 1
    )
    stops: list[TaskGroup] = []
    repeat = []
    for each in down:
        worker = fleet_state.workers.get(each.worker) if each.worker is not None else None
        if each.is_confirmed:
            continue
        if worker is None or worker.is_idle:
            repeat.append(each)
        else:
            stops += _groups_to_stop(worker, True, stops)
    begin = []
    for machine in chosen:
        running_worker = _worker_on(machine, fleet_state)
        if running_worker is None or running_worker.is_idle:
            begin.append(machine)
        else:
            stops += _groups_to_stop(running_worker, is_urgent, stops)
    to_vacate = [machine.worker for machine in chosen] + [each.worker for each in down]
    return WavePlan(
        {name for name in to_vacate if name is not None},
        stops,
        begin,
        repeat,
        not waiting and not down,
    )


def _is_finished(
    begun: OrderedMaintenance, machines: dict[MachineName, Machine], fleet_state: FleetState
) -> bool:
    """Returns whether the machine is up with a new or restarted worker, or no longer listed."""
    if not begun.is_confirmed:
        return False
    machine = machines.get(begun.machine)
    if machine is None:
        return True
    if machine.state is not MachineState.UP:
        return False
    worker = _worker_on(machine, fleet_state)
    return machine.worker != begun.worker or (
        worker is not None and worker.has_restarted_since(begun.incarnation)
    )


def _worker_on(machine: Machine, fleet_state: FleetState) -> FleetWorker | None:
    return fleet_state.workers.get(machine.worker) if machine.worker is not None else None


def _loss_by_vacating(worker: FleetWorker | None, now_ms: int) -> int:
    if worker is None:
        return 0
    groups = {group for group, _ in worker.placements}
    return sum(preemption_loss(group, now_ms) for group in groups)


def _groups_to_stop(
    worker: FleetWorker, is_urgent: bool, planned: list[TaskGroup]
) -> list[TaskGroup]:
    groups = sorted(
        {group for group, _ in worker.placements}, key=lambda group: (group.job.id, group.key)
    )
    if not is_urgent and any(_would_lose_work(group) for group in groups):
        return []
    return [
        group
        for group in groups
        if not group.is_stopping
        and group not in planned
        and may_disrupt(group)
        and not _disrupts_planned_service(group, planned)
    ]


def _would_lose_work(group: TaskGroup) -> bool:
    return not (group.request.saves_checkpoints or group.request.runs_until_cancelled)


def _disrupts_planned_service(group: TaskGroup, planned: list[TaskGroup]) -> bool:
    """Returns whether a stop in the same step of the same service is already planned."""
    return bool(group.request.max_unavailable) and any(
        each.job is group.job and each.step == group.step for each in planned
    )
