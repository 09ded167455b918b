"""Builds the scheduling policy's view and the published summary of an availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.zone_summary import RackSummary
from jujubehall.core.jobs.zone_summary import TeamUsage
from jujubehall.core.jobs.zone_summary import WorkerSummary
from jujubehall.core.jobs.zone_view import JobView
from jujubehall.core.jobs.zone_view import TeamView
from jujubehall.core.jobs.zone_view import WorkerView
from jujubehall.platform.host import HostState
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.configuration.document import Shape
    from jujubehall.core.jobs.worker_health import WorkerHealth
    from jujubehall.identifiers import RackName
    from jujubehall.identifiers import TeamName
    from jujubehall.identifiers import WorkerName
    from jujubehall.services.gang_runner import GangRunner
    from jujubehall.services.zone_gangs import ZoneGangs
    from jujubehall.services.zone_workers import WorkerStatus

NO_RESOURCES = Resources(0)


def worker_views(
    statuses: Iterable[WorkerStatus],
    gangs: ZoneGangs,
    health: WorkerHealth,
    configured_foreign: dict[WorkerName, Resources],
    now_ms: int,
) -> tuple[WorkerView, ...]:
    """Returns views of the workers that have responded to this owner, sorted by name."""
    views = [
        WorkerView(
            status.name,
            status.inventory.rack,
            status.inventory.capacity,
            gangs.resources_held_on(status),
            max_resources(
                status.inventory.foreign, configured_foreign.get(status.name, NO_RESOURCES)
            ),
            status.is_usable(now_ms) and not health.is_quarantined(status.name),
        )
        for status in statuses
        if status.inventory is not None
    ]
    return tuple(sorted(views, key=lambda view: view.name))


def job_view(runner: GangRunner, queued_since_ms: int, now_ms: int) -> JobView:
    """Returns the view of a job that holds resources; a job being stopped is ``STOPPING``.

    A checkpoint saves all work, so the view reports no work as lost if the job is stopped after a
    checkpoint. A gang that doesn't run yet is shown as started now, since it has no work to lose.
    """
    gang = runner.gang
    record = gang.record
    if gang.is_stopping:
        record = msgspec.structs.replace(record, state=JobState.STOPPING)
    started_at_ms = now_ms if gang.started_at_ms is None else gang.started_at_ms
    return JobView(record, queued_since_ms, started_at_ms)


def max_resources(one: Resources, other: Resources) -> Resources:
    """Returns the maximum of ``one`` and ``other`` for each kind of resource."""
    return Resources(
        max(one.accelerators, other.accelerators),
        max(one.cores, other.cores),
        max(one.memory_gb, other.memory_gb),
    )


def summarise_worker(
    status: WorkerStatus, view: WorkerView, health: WorkerHealth, now_ms: int
) -> WorkerSummary:
    """Returns the published summary of a worker.

    Only a usable worker reports free accelerators.
    """
    state = "usable"
    if health.is_quarantined(status.name):
        state = "quarantined"
    if status.host.state is HostState.LEAVING:
        state = "leaving"
    if not status.is_reachable(now_ms):
        state = "unreachable"
    return WorkerSummary(
        view.name,
        view.rack,
        view.capacity.accelerators,
        free_accelerators(view) if state == "usable" else 0,
        view.foreign.accelerators,
        state,
    )


def summarise_racks(
    workers: Iterable[WorkerSummary], configured_foreign: dict[WorkerName, Resources]
) -> tuple[RackSummary, ...]:
    """Returns rack summaries, sorted by rack.

    ``accelerators`` excludes the accelerators configured for the older scheduler.
    """
    racks: dict[RackName, list[WorkerSummary]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return tuple(
        RackSummary(
            rack,
            sum(
                worker.accelerators
                - configured_foreign.get(worker.worker, NO_RESOURCES).accelerators
                for worker in members
            ),
            sum(worker.free for worker in members),
            len(members),
            max(worker.accelerators for worker in members),
        )
        for rack, members in sorted(racks.items())
    )


def summarise_teams(
    guarantees: dict[TeamName, Shape], running: Iterable[JobView], racks: Iterable[RackSummary]
) -> tuple[TeamUsage, ...]:
    """Returns the accelerators that each team uses in the zone and could reclaim of its guarantee.

    A team can reclaim the zone's free accelerators and those that other teams have borrowed, up to
    its guarantee. Accelerators that the team uses already count as reclaimed. Block sizes and rack
    boundaries are ignored.
    """
    in_use: dict[TeamName, int] = dict.fromkeys(guarantees, 0)
    for job in running:
        spec = job.record.spec
        accelerators = spec.parts * spec.accelerators_per_part
        in_use[spec.team] = in_use.get(spec.team, 0) + accelerators
    guaranteed = {
        name: shape.blocks * shape.accelerators_per_block for name, shape in guarantees.items()
    }
    borrowed = {
        name: max(0, team_in_use - guaranteed.get(name, 0)) for name, team_in_use in in_use.items()
    }
    free = sum(rack.free for rack in racks)
    team_usages = []
    for name, team_in_use in sorted(in_use.items()):
        own_guarantee = guaranteed.get(name, 0)
        borrowed_by_others = sum(borrowed.values()) - borrowed[name]
        reclaimable = min(
            own_guarantee, min(team_in_use, own_guarantee) + free + borrowed_by_others
        )
        team_usages.append(TeamUsage(name, own_guarantee, team_in_use, borrowed[name], reclaimable))
    return tuple(team_usages)


def team_views(
    guarantees: dict[TeamName, Shape], quotas: dict[TeamName, int | None]
) -> tuple[TeamView, ...]:
    """Returns the teams' guarantees and quotas for the scheduling policy."""
    return tuple(TeamView(name, guarantees.get(name), quota) for name, quota in quotas.items())


def free_accelerators(view: WorkerView) -> int:
    """Returns a worker's accelerators that are neither held nor used by the older scheduler."""
    taken = view.held.accelerators + view.foreign.accelerators
    return max(0, view.capacity.accelerators - taken)
