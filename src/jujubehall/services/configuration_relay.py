"""Distributes the configuration between entry hosts.

An entry host that can't reach the platform, was started during an outage or got a stale read
learns from the heartbeats of other entry hosts that a later version exists.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Ok

from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.entry_hosts.messages import ConfigurationOffered
from jujubehall.entry_hosts.messages import ConfigurationWanted
from jujubehall.entry_hosts.messages import Refused
from jujubehall.platform.entry import Entry

if TYPE_CHECKING:
    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Heartbeat
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.services.state_cache import StateCache

PEER_REQUEST_TIMEOUT_MS = 2_000

log = structlog.get_logger()


class ConfigurationRelay:
    """Serves the latest known configuration to peers and fetches later versions from them."""

    def __init__(self, mesh: Mesh, cache: StateCache) -> None:
        self._mesh = mesh
        self._cache = cache
        self._is_request_pending = False
        mesh.register(ConfigurationWanted, self._on_configuration_wanted)

    async def fetch_if_newer(self, peer: Member, heartbeat: Heartbeat) -> None:
        """Fetches the configuration from ``peer`` if its heartbeat shows a later version.

        Only one such request is in progress at a time.
        """
        known_version = self._cache.version(CONFIGURATION_KEY)
        if heartbeat.configuration_version <= known_version or self._is_request_pending:
            return
        self._is_request_pending = True
        try:
            result = await self._mesh.request(peer, ConfigurationWanted(), PEER_REQUEST_TIMEOUT_MS)
        finally:
            self._is_request_pending = False
        if isinstance(result, Ok) and isinstance(result.ok_value, ConfigurationOffered):
            self._apply_offered(peer, result.ok_value)

    def _apply_offered(self, peer: Member, offered: ConfigurationOffered) -> None:
        if offered.version <= self._cache.version(CONFIGURATION_KEY):
            return
        log.info("configuration received from peer", version=offered.version, peer=peer.name)
        value = msgspec.msgpack.decode(offered.value)
        self._cache.apply(Entry(CONFIGURATION_KEY, value, offered.version))

    async def _on_configuration_wanted(
        self, sender: EntryHostName, message: ConfigurationWanted
    ) -> Message:
        entry = self._cache.entry(CONFIGURATION_KEY)
        if entry is None:
            return Refused("this entry host has no configuration")
        return ConfigurationOffered(entry.version, msgspec.Raw(msgspec.msgpack.encode(entry.value)))
