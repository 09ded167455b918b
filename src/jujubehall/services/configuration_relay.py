"""Passes the configuration on between entry hosts.

An entry host that is cut off from the platform, was started during an outage or was handed a
stale read learns from the heartbeats of the others that there is a later version.
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

ASK_TIMEOUT_MS = 2_000

log = structlog.get_logger()


class ConfigurationRelay:
    """Offers the latest known configuration, and asks for a later one."""

    def __init__(self, mesh: Mesh, cache: StateCache) -> None:
        self._mesh = mesh
        self._cache = cache
        self._is_asking = False
        mesh.register(ConfigurationWanted, self._on_wanted)

    async def compare(self, peer: Member, heartbeat: Heartbeat) -> None:
        """Asks ``peer`` for its configuration if its heartbeat shows a later version."""
        known = self._cache.version(CONFIGURATION_KEY)
        if heartbeat.configuration_version <= known or self._is_asking:
            return
        self._is_asking = True
        try:
            answered = await self._mesh.ask(peer, ConfigurationWanted(), ASK_TIMEOUT_MS)
        finally:
            self._is_asking = False
        if isinstance(answered, Ok) and isinstance(answered.ok_value, ConfigurationOffered):
            self._learn(peer, answered.ok_value)

    def _learn(self, peer: Member, offered: ConfigurationOffered) -> None:
        if offered.version <= self._cache.version(CONFIGURATION_KEY):
            return
        log.info("configuration relayed", version=offered.version, peer=peer.name)
        value = msgspec.msgpack.decode(offered.value)
        self._cache.apply(Entry(CONFIGURATION_KEY, value, offered.version))

    async def _on_wanted(self, sender: EntryHostName, message: ConfigurationWanted) -> Message:
        entry = self._cache.entry(CONFIGURATION_KEY)
        if entry is None:
            return Refused("no configuration is known here")
        return ConfigurationOffered(entry.version, msgspec.Raw(msgspec.msgpack.encode(entry.value)))
