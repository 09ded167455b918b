"""Reads the operators' configuration and the worker entries from the platform's store."""

from __future__ import annotations

import re

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
from jujubehall.decoding import decode_json
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.adapter import wire
from jujubehall.platform.site_store import StoredConfiguration
from jujubehall.platform.site_store import ZoneChange
from jujubehall.platform.site_store import ZoneChanges

if TYPE_CHECKING:
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItem
    from jujubehall.platform.site_store import StoredItems

CONFIGURATION_KEY = "op/config"
WORKERS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
DRAINING_STATE = "draining"
WORKER_STATES = frozenset({"ready", DRAINING_STATE})
WORKER_NAME_PATTERN = re.compile(r"[!-~]+")
"""Printable ASCII characters other than the space; the name is sent in a header of each command."""

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
ADDRESS_PATTERN = re.compile(rf"(?:{_OCTET}\.){{3}}{_OCTET}:(?P<port>[0-9]{{1,5}})")
MAX_PORT = 65_535
MAX_SHOWN_CHARACTERS = 60

log = structlog.get_logger()


class StoreDirectory:
    """Implements ``SiteDirectory`` on top of the store."""

    def __init__(self, store: SiteStore) -> None:
        self._store = store
        self._invalid_keys: set[str] = set()

    async def read_configuration(self) -> Result[StoredConfiguration, Failure]:
        """Reads the latest configuration."""
        result = await self._store.list_items(CONFIGURATION_KEY)
        return result.map(_to_stored_configuration)

    async def wait_for_configuration(
        self, after: Revision, wait_ms: int, answer_timeout_ms: int
    ) -> Result[StoredConfiguration, Failure]:
        """Waits up to ``wait_ms`` for a configuration written after revision ``after``.

        Fails with ``NOT_FOUND`` if the store no longer has the history since ``after``, and without
        an answer ``answer_timeout_ms`` after the end of the wait.
        """
        result = await self._store.watch(CONFIGURATION_KEY, after, wait_ms, answer_timeout_ms)
        return result.map(_to_stored_configuration)

    def decode_configuration(self, content: bytes) -> Result[SiteConfiguration, Failure]:
        """Decodes the bytes of a configuration."""
        try:
            return Ok(_to_configuration(decode_json(content, wire.Configuration)))
        except msgspec.DecodeError as error:
            return Err(Failure(FailureKind.INVALID, "decode configuration", "operator", str(error)))

    async def list_workers(self) -> Result[list[ListedWorker], Failure]:
        """Lists the registered workers; invalid entries are left out and logged once per key."""
        result = await self._store.list_items(WORKERS_PREFIX)
        return result.map(
            lambda items: [
                worker for item in items.items if (worker := self._to_worker(item)) is not None
            ]
        )

    async def list_evacuated_zones(self) -> Result[ZoneChanges, Failure]:
        """Lists the zones that are evacuated now."""
        return (await self._store.list_items(EVACUATIONS_PREFIX)).map(_to_zone_changes)

    async def wait_for_zone_changes(
        self, after: Revision, wait_ms: int
    ) -> Result[ZoneChanges, Failure]:
        """Waits for evacuations and returns of zones after revision ``after``.

        Returns no changes if there were none within ``wait_ms``, and fails with ``NOT_FOUND`` if
        the store no longer has the history since ``after``.
        """
        return (await self._store.watch(EVACUATIONS_PREFIX, after, wait_ms)).map(_to_zone_changes)

    def _to_worker(self, item: StoredItem) -> ListedWorker | None:
        name = item.key.removeprefix(WORKERS_PREFIX)
        try:
            entry = decode_json(item.value, wire.ServerEntry)
            _check_entry(name, entry)
        except msgspec.DecodeError as error:
            if item.key not in self._invalid_keys:
                self._invalid_keys.add(item.key)
                log.warning("invalid worker entry ignored", key=item.key, error=str(error))
            return None
        return ListedWorker(
            WorkerName(name),
            entry.address,
            PoolName(entry.service),
            ZoneName(entry.zone),
            RackName(entry.labels[1] if len(entry.labels) > 1 else ""),
            frozenset(entry.labels),
            to_resources(entry.capacity),
            entry.state == DRAINING_STATE,
            entry.born,
            entry.remaining_ms,
            max(0, round(entry.cold_remaining_ms)),
        )


def _check_entry(name: str, entry: wire.ServerEntry) -> None:
    """Raises ``msgspec.ValidationError`` for values that a worker can't have."""
    if entry.state not in WORKER_STATES:
        raise msgspec.ValidationError(f"unknown worker state {entry.state!r}")
    if WORKER_NAME_PATTERN.fullmatch(name) is None:
        raise msgspec.ValidationError("the worker has no name, or one with other characters")
    address = ADDRESS_PATTERN.fullmatch(entry.address)
    if address is None or not 0 < int(address["port"]) <= MAX_PORT:
        raise msgspec.ValidationError(
            f"address {entry.address[:MAX_SHOWN_CHARACTERS]!r} is not an IPv4 address and a port"
        )


def to_resources(amounts: wire.ResourceAmounts) -> Resources:
    """Converts the platform's resource amounts."""
    return Resources(amounts.cpu, amounts.memory_mb, amounts.accelerators)


def _to_stored_configuration(stored: StoredItems) -> StoredConfiguration:
    versions = [
        each for each in stored.items if each.key == CONFIGURATION_KEY and not each.is_deleted
    ]
    latest = max(versions, key=lambda item: item.revision, default=None)
    return StoredConfiguration(None if latest is None else latest.value, stored.revision)


def _to_zone_changes(stored: StoredItems) -> ZoneChanges:
    """Reads the zones from the keys; what their values contain doesn't matter."""
    return ZoneChanges(
        [
            ZoneChange(ZoneName(item.key.removeprefix(EVACUATIONS_PREFIX)), not item.is_deleted)
            for item in stored.items
        ],
        stored.revision,
    )


def _to_configuration(document: wire.Configuration) -> SiteConfiguration:
    return SiteConfiguration(
        document.version,
        tuple(_to_queue(route) for route in document.routes),
        tuple(
            Team(TeamName(tenant.name), frozenset(tenant.keys), tenant.guaranteed.accelerators)
            for tenant in document.tenants
        ),
        frozenset(
            PoolName(service.name) for service in document.services if service.enforces_capacity
        ),
        frozenset(PoolName(service.name) for service in document.services if service.is_spare),
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
