"""What the operators and the workers of the platform write to its store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Err
from result import Ok
from result import Result

from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.configuration import SiteConfiguration
from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.workers import ListedWorker
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.adapter import wire
from jujubehall.platform.site_store import ConfigurationRead

if TYPE_CHECKING:
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItem

CONFIGURATION_KEY = "op/config"
WORKERS_PREFIX = "servers/"
DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})

log = structlog.get_logger()


class StoreDirectory:
    """Implements ``SiteDirectory`` over the store."""

    def __init__(self, store: SiteStore) -> None:
        self._store = store
        self._unreadable: set[str] = set()

    async def configuration(self) -> Result[ConfigurationRead | None, Failure]:
        """Reads the newest configuration; None before the first."""
        found = await self._store.get(CONFIGURATION_KEY)
        return found.and_then(lambda item: Ok(None) if item is None else self._read(item))

    async def wait_for_configuration(
        self, after: Revision, wait_ms: int
    ) -> Result[ConfigurationRead | None, Failure]:
        """Waits for a configuration later than ``after``; None if there was none meanwhile."""
        found = await self._store.watch(CONFIGURATION_KEY, after, wait_ms)
        if isinstance(found, Err):
            return found
        written = [
            item
            for item in found.ok_value.items
            if item.key == CONFIGURATION_KEY and not item.is_deleted
        ]
        return self._read(written[-1]) if written else Ok(None)

    def decode_configuration(self, content: bytes) -> Result[SiteConfiguration, Failure]:
        """Decodes what another entry host has read."""
        try:
            return Ok(_to_configuration(msgspec.json.decode(content, type=wire.Configuration)))
        except msgspec.DecodeError as error:
            return Err(Failure(FailureKind.INVALID, "decode configuration", "operator", str(error)))

    async def workers(self) -> Result[list[ListedWorker], Failure]:
        """Lists the workers that are registered now; entries that can't be read are left out."""
        found = await self._store.list_items(WORKERS_PREFIX)
        return found.map(
            lambda items: [
                worker for item in items.items if (worker := self._to_worker(item)) is not None
            ]
        )

    def _read(self, item: StoredItem) -> Result[ConfigurationRead, Failure]:
        decoded = self.decode_configuration(item.value)
        return decoded.map(
            lambda configuration: ConfigurationRead(configuration, item.value, item.revision)
        )

    def _to_worker(self, item: StoredItem) -> ListedWorker | None:
        try:
            entry = msgspec.json.decode(item.value, type=wire.ServerEntry)
            if entry.state not in STATES:
                raise msgspec.ValidationError(f"unknown state {entry.state!r}")
        except msgspec.DecodeError as error:
            if item.key not in self._unreadable:
                self._unreadable.add(item.key)
                log.warning("worker entry ignored", key=item.key, error=str(error))
            return None
        return ListedWorker(
            WorkerName(item.key.removeprefix(WORKERS_PREFIX)),
            entry.address,
            PoolName(entry.service),
            ZoneName(entry.zone),
            RackName(entry.labels[1] if len(entry.labels) > 1 else ""),
            frozenset(entry.labels),
            to_resources(entry.capacity),
            entry.state == DRAINING,
            entry.born,
            entry.remaining_ms,
        )


def to_resources(amounts: wire.Amounts) -> Resources:
    """Translates amounts."""
    return Resources(amounts.cpu, amounts.memory_mb, amounts.accelerators)


def _to_configuration(found: wire.Configuration) -> SiteConfiguration:
    return SiteConfiguration(
        found.version,
        tuple(_to_queue(route) for route in found.routes),
        tuple(
            Team(TeamName(each.name), frozenset(each.keys), each.guaranteed.accelerators)
            for each in found.tenants
        ),
        frozenset(PoolName(each.name) for each in found.services if each.enforces_capacity),
        frozenset(PoolName(each.name) for each in found.services if each.is_spare),
    )


def _to_queue(route: wire.Route) -> Queue:
    return Queue(
        QueueName(route.name),
        route.host,
        route.prefix,
        PoolName(route.service),
        route.priority,
        route.max_failures,
        route.stretch,
        route.objective_ms,
        route.timeout_ms,
        route.is_public,
        route.advice is not None,
    )
