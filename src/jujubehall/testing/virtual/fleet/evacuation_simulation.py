"""Randomised fault tests of a simulated site whose availability zones are evacuated and return.

``python -m jujubehall.testing.virtual.fleet.evacuation_simulation --seeds 50`` runs seeds 0 to 49
and prints the invariant violations of each.
"""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import ZoneName
from jujubehall.testing.virtual.fleet.fault_simulation import HOST_COUNT
from jujubehall.testing.virtual.fleet.fault_simulation import FaultSimulation
from jujubehall.testing.virtual.fleet.fault_simulation import delay_worker_commands
from jujubehall.testing.virtual.fleet.fault_simulation import make_configuration
from jujubehall.testing.virtual.fleet.fault_simulation import make_workers
from jujubehall.testing.virtual.fleet.fault_simulation import run_seeds
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.fleet.workers import ListedWorker

ZONES = (ZoneName("lagos-island"), ZoneName("lagos-mainland"))
EVACUATION_DEADLINE_MS = 5_000

_evacuations: list[Callable[[FaultSimulation], None]] = []


def evacuation(action: Callable[[FaultSimulation], None]) -> Callable[[FaultSimulation], None]:
    """Registers the decorated function as a change of the evacuated zones."""
    _evacuations.append(action)
    return action


@evacuation
def evacuate_zone(simulation: FaultSimulation) -> None:
    """Evacuates a zone, or one more."""
    simulation.site.evacuate_zone(simulation.random.choice(ZONES))


@evacuation
def return_zone(simulation: FaultSimulation) -> None:
    """Returns a zone."""
    simulation.site.return_zone(simulation.random.choice(ZONES))


@evacuation
def evacuate_zone_during_store_outage(simulation: FaultSimulation) -> None:
    """Evacuates a zone while no entry host gets answers of the store, for 0.5 to 8 s."""
    simulation.site.set_store_fault_mode(
        simulation.random.choice([StoreFaultMode.NO_RESPONSE, StoreFaultMode.UNAVAILABLE])
    )
    simulation.site.run(simulation.random.uniform(0.0, 1.0))
    simulation.site.evacuate_zone(simulation.random.choice(ZONES))
    simulation.site.run(simulation.random.uniform(0.5, 7.0))
    simulation.site.set_store_fault_mode(StoreFaultMode.NONE)


@evacuation
def drop_watch_events(simulation: FaultSimulation) -> None:
    """Sets whether the watches of an entry host deliver nothing and lose their history."""
    store = simulation.random_host().store
    store.drops_watch_events = not store.drops_watch_events


class EvacuationSimulation(FaultSimulation):
    """One run in which zones are evacuated among faults; all choices derive from ``seed``."""

    # Commands that workers carry out late are the only ones that may start tasks in the zone.
    injected = [  # noqa: RUF012
        *(each for each in FaultSimulation.injected if each is not delay_worker_commands),
        *2 * _evacuations,
    ]

    def make_site(self, seed: int) -> VirtualFleet:
        """Returns a site with workers in two zones, which may be evacuated."""
        return VirtualFleet(
            make_configuration(),
            [_with_zone(number, worker) for number, worker in enumerate(make_workers())],
            HOST_COUNT,
            seed,
            evacuation_deadline_ms=EVACUATION_DEADLINE_MS,
        )

    def end_faults(self) -> None:
        """Ends all faults and returns all zones."""
        super().end_faults()
        for host in self.site.hosts:
            host.store.drops_watch_events = False
        for zone in ZONES:
            self.site.return_zone(zone)


def _with_zone(number: int, worker: ListedWorker) -> ListedWorker:
    return msgspec.structs.replace(worker, zone=ZONES[number % len(ZONES)])


if __name__ == "__main__":
    sys.exit(run_seeds(EvacuationSimulation))
