"""Makes fleet states with usable workers for the benchmarks of site-wide scheduling."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.configuration import SiteConfiguration
from jujubehall.core.fleet.state import FleetState
from jujubehall.core.fleet.workers import ListedWorker
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.configuration import Team
    from jujubehall.core.fleet.resources import Resources

POOL = PoolName("pool")
WORKERS_PER_RACK = 8
ZONE_COUNT = 3


def make_fleet_state(
    workers: int,
    capacity: Resources,
    queues: tuple[Queue, ...],
    workers_per_rack: int = WORKERS_PER_RACK,
    zones: int = ZONE_COUNT,
    teams: tuple[Team, ...] = (),
) -> FleetState:
    """Makes the state of a site whose workers are all reachable, have reported and are idle."""
    fleet_state = FleetState()
    fleet_state.apply_configuration(SiteConfiguration(1, queues, teams))
    listed = [
        ListedWorker(
            WorkerName(f"w{number:04}"),
            "",
            POOL,
            ZoneName(f"z{number // workers_per_rack % zones}"),
            RackName(f"r{number // workers_per_rack:03}"),
            frozenset({"a"}),
            capacity,
            incarnation=1,
        )
        for number in range(workers)
    ]
    for worker in fleet_state.sync_workers(listed):
        worker.is_reachable = worker.is_registered = worker.has_reported = True
    return fleet_state
