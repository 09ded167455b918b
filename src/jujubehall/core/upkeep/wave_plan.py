"""Decides which machines of a wave are vacated and taken down next.

Answers waves of upkeep on sites that are full of work: a machine is first closed for new work, so
that what runs there can end; what can go on elsewhere from a checkpoint is moved; the rest is only
stopped if the wave would be late otherwise. A service is never taken below its bound on absences.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.preempting import loss_by_stopping
from jujubehall.core.upkeep.absence import may_take_away
from jujubehall.core.upkeep.wave import MachineState

if TYPE_CHECKING:
    from jujubehall.core.fleet.book import FleetBook
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.core.upkeep.wave import BegunUpkeep
    from jujubehall.core.upkeep.wave import Machine
    from jujubehall.core.upkeep.wave import Wave
    from jujubehall.core.upkeep.wave import WaveProgress
    from jujubehall.identifiers import MachineName
    from jujubehall.identifiers import WorkerName

TURN_MS = 4_000
"""How long one machine takes: a stop (0.4 s), the upkeep (2 s on the known sites), its worker's
entry in the store (1.5 s)."""


class PlannedUpkeep(NamedTuple):
    """What to do now for a wave."""

    vacating: set[WorkerName]
    """Workers on which nothing is to be started any more."""

    stops: list[TaskGroup]
    begin: list[Machine]
    """Machines whose upkeep may begin now: nothing runs there."""

    repeat: list[BegunUpkeep]
    """Orders whose outcome is not known and that end no work."""

    is_done: bool


def plan_wave(
    wave: Wave,
    progress: WaveProgress,
    listed: list[Machine],
    book: FleetBook,
    now_ms: int,
    left_ms: int,
) -> PlannedUpkeep:
    """Plans the next steps; ``left_ms`` is the time until the wave should be complete."""
    machines = {machine.name: machine for machine in listed}
    begun = {each.machine: each for each in progress.begun}
    down = [
        begun[name]
        for name in wave.machines
        if name in begun and not _is_back(begun[name], machines, book)
    ]
    waiting = [name for name in wave.machines if name in machines and name not in begun]
    places = wave.most_down - len(down)
    ready = sorted(
        (machines[name] for name in waiting if machines[name].state is MachineState.UP),
        key=lambda machine: (_loss(_worker(machine, book), now_ms), machine.name),
    )
    chosen = ready[: max(0, places)]
    is_urgent = left_ms < TURN_MS * (-(-len(waiting) // wave.most_down) + 1)
    stops: list[TaskGroup] = []
    repeat = []
    for each in down:
        worker = book.workers.get(each.worker) if each.worker is not None else None
        if each.is_confirmed:
            continue
        if worker is None or worker.is_empty:
            repeat.append(each)
        else:
            stops += _stops_on(worker, True, stops)
    begin = []
    for machine in chosen:
        occupied = _worker(machine, book)
        if occupied is None or occupied.is_empty:
            begin.append(machine)
        else:
            stops += _stops_on(occupied, is_urgent, stops)
    closed = [machine.worker for machine in chosen] + [each.worker for each in down]
    return PlannedUpkeep(
        {name for name in closed if name is not None},
        stops,
        begin,
        repeat,
        not waiting and not down,
    )


def _is_back(begun: BegunUpkeep, machines: dict[MachineName, Machine], book: FleetBook) -> bool:
    """Whether the machine is up in its next life, or has been taken away for good."""
    if not begun.is_confirmed:
        return False
    machine = machines.get(begun.machine)
    if machine is None:
        return True
    if machine.state is not MachineState.UP:
        return False
    worker = _worker(machine, book)
    return machine.worker != begun.worker or (
        worker is not None and worker.listed.life != begun.life
    )


def _worker(machine: Machine, book: FleetBook) -> FleetWorker | None:
    return book.workers.get(machine.worker) if machine.worker is not None else None


def _loss(worker: FleetWorker | None, now_ms: int) -> int:
    if worker is None:
        return 0
    groups = {group for group, _ in worker.placements}
    return sum(loss_by_stopping(group, now_ms) for group in groups)


def _stops_on(worker: FleetWorker, is_urgent: bool, planned: list[TaskGroup]) -> list[TaskGroup]:
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
        and may_take_away(group)
        and not _takes_away_together(group, planned)
    ]


def _would_lose_work(group: TaskGroup) -> bool:
    return not (group.request.saves_checkpoints or group.request.runs_until_cancelled)


def _takes_away_together(group: TaskGroup, planned: list[TaskGroup]) -> bool:
    """Whether a stop of the same service is planned in this round already."""
    return bool(group.request.may_be_absent) and any(
        each.job is group.job and each.step == group.step for each in planned
    )
