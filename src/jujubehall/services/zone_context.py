"""Dependencies shared by all zone owners on one entry host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from jujubehall.core.jobs.zone_summary import ZONE_SUMMARY_PREFIX
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.identifiers import WorkerName
from jujubehall.services.zone_guarantees import guarantees_in
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.configuration.document import Shape
    from jujubehall.core.jobs.policy import Policy
    from jujubehall.identifiers import TeamName
    from jujubehall.identifiers import ZoneName
    from jujubehall.platform.interface import Platform
    from jujubehall.services.configuration_service import ConfigurationService
    from jujubehall.services.host_list import HostList
    from jujubehall.services.job_index import JobIndex
    from jujubehall.services.job_store import JobStore
    from jujubehall.services.state_cache import StateCache
    from jujubehall.workers.interface import Workers

FOREIGN_ACCELERATORS_KEY = "foreign_accelerators"


@dataclass(frozen=True)
class ZoneContext:
    """The services, clients and settings that every zone owner uses."""

    reactor: Reactor
    clock: Clock
    platform: Platform
    cache: StateCache
    hosts: HostList
    workers: Workers
    configuration: ConfigurationService
    make_policy: Callable[[], Policy]
    index: JobIndex
    store: JobStore
    random: Random

    @property
    def summaries(self) -> list[ZoneSummary]:
        """Published summaries of the zones that have at least one worker in the host list."""
        listed = {host.zone for host in self.hosts.workers}
        summaries: list[ZoneSummary] = self.cache.read_all(ZONE_SUMMARY_PREFIX, ZoneSummary)
        return [summary for summary in summaries if summary.zone in listed]

    def guarantees(self, zone: ZoneName) -> dict[TeamName, Shape]:
        """Returns the guaranteed shape of each team in ``zone``."""
        return guarantees_in(zone, self.configuration.current.teams, self.summaries)

    def configured_foreign(self, zone: ZoneName) -> dict[WorkerName, Resources]:
        """Returns the resources of each worker in ``zone`` that are left to the older scheduler.

        The configuration sets them; a worker's own setting takes precedence over its zone's.
        """
        return {
            WorkerName(host.name): Resources(self._configured_foreign_accelerators(host.name, zone))
            for host in self.hosts.workers
            if host.zone == zone
        }

    def _configured_foreign_accelerators(self, worker: str, zone: ZoneName) -> int:
        scopes = (f"worker/{worker}", f"zone/{zone}")
        return int(self.configuration.current.value(FOREIGN_ACCELERATORS_KEY, *scopes))
