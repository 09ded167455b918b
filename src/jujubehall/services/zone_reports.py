"""Builds the policy's view and the published summary of an availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.zone_summary import RackSummary
from jujubehall.core.jobs.zone_summary import TeamUse
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
    from jujubehall.services.zone_workers import WorkerContact

NOTHING = Resources(0)


def view_workers(
    contacts: Iterable[WorkerContact],
    gangs: ZoneGangs,
    health: WorkerHealth,
    shares: dict[WorkerName, Resources],
    now_ms: int,
) -> tuple[WorkerView, ...]:
    """The workers that have answered this owner at least once, by name."""
    views = [
        WorkerView(
            contact.name,
            contact.inventory.rack,
            contact.inventory.capacity,
            gangs.held_on(contact),
            larger(contact.inventory.foreign, shares.get(contact.name, NOTHING)),
            contact.is_usable(now_ms) and not health.is_quarantined(contact.name),
        )
        for contact in contacts
        if contact.inventory is not None
    ]
    return tuple(sorted(views, key=lambda view: view.name))


def view_running(runner: GangRunner, queued_since_ms: int, now_ms: int) -> JobView:
    """A job that holds space; one that is being stopped is shown as ``STOPPING``.

    A checkpoint saves everything, so that only the time since the start of a gang that has not
    run yet would be lost.
    """
    gang = runner.gang
    record = gang.record
    if gang.is_stopping:
        record = msgspec.structs.replace(record, state=JobState.STOPPING)
    started_at_ms = now_ms if gang.started_at_ms is None else gang.started_at_ms
    return JobView(record, queued_since_ms, started_at_ms)


def larger(one: Resources, other: Resources) -> Resources:
    """The larger of each kind of resource."""
    return Resources(
        max(one.accelerators, other.accelerators),
        max(one.cores, other.cores),
        max(one.memory_gb, other.memory_gb),
    )


def summarise_worker(
    contact: WorkerContact, view: WorkerView, health: WorkerHealth, now_ms: int
) -> WorkerSummary:
    """A worker's published state."""
    state = "usable"
    if health.is_quarantined(contact.name):
        state = "quarantined"
    if contact.host.state is HostState.LEAVING:
        state = "leaving"
    if not contact.is_reachable(now_ms):
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
    workers: Iterable[WorkerSummary], shares: dict[WorkerName, Resources]
) -> tuple[RackSummary, ...]:
    """The racks; ``accelerators`` leaves the older scheduler's configured share out."""
    racks: dict[RackName, list[WorkerSummary]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return tuple(
        RackSummary(
            rack,
            sum(w.accelerators - shares.get(w.worker, NOTHING).accelerators for w in members),
            sum(w.free for w in members),
            len(members),
            max(w.accelerators for w in members),
        )
        for rack, members in sorted(racks.items())
    )


def summarise_teams(
    guarantees: dict[TeamName, Shape], running: Iterable[JobView], racks: Iterable[RackSummary]
) -> tuple[TeamUse, ...]:
    """What each team holds in the zone, and what it could reclaim of its guarantee.

    Reclaimable are whole blocks that fit into the free and the borrowed accelerators of a rack;
    what the team holds already counts as reclaimed.
    """
    in_use: dict[TeamName, int] = dict.fromkeys(guarantees, 0)
    for job in running:
        spec = job.record.spec
        size = spec.parts * spec.accelerators_per_part
        in_use[spec.team] = in_use.get(spec.team, 0) + size
    guaranteed = {
        name: shape.blocks * shape.accelerators_per_block for name, shape in guarantees.items()
    }
    borrowed = {name: max(0, used - guaranteed.get(name, 0)) for name, used in in_use.items()}
    free = sum(rack.free for rack in racks)
    uses = []
    for name, used in sorted(in_use.items()):
        limit = guaranteed.get(name, 0)
        others = sum(borrowed.values()) - borrowed[name]
        reclaimable = min(limit, min(used, limit) + free + others)
        uses.append(TeamUse(name, limit, used, borrowed[name], reclaimable))
    return tuple(uses)


def view_teams(
    guarantees: dict[TeamName, Shape], quotas: dict[TeamName, int | None]
) -> tuple[TeamView, ...]:
    """The teams as the policy sees them."""
    return tuple(TeamView(name, guarantees.get(name), quota) for name, quota in quotas.items())


def free_accelerators(view: WorkerView) -> int:
    """What is left of a worker."""
    taken = view.held.accelerators + view.foreign.accelerators
    return max(0, view.capacity.accelerators - taken)
