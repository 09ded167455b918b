"""Polls the platform's lagging list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from jujubehall.platform.host import HostKind
from jujubehall.services.timing import BackOff
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.platform.host import Host
    from jujubehall.platform.interface import Platform

POLL_INTERVAL_MS = 1_000


class HostList:
    """The latest known list; kept as it was while the platform can't be reached."""

    def __init__(self, reactor: Reactor, platform: Platform, random: Random) -> None:
        self._reactor = reactor
        self._platform = platform
        self._back_off = BackOff(random)
        self._hosts: list[Host] = []
        self._listeners: list[Callable[[list[Host]], None]] = []
        self._running = True
        self._connected = False

    @property
    def is_connected(self) -> bool:
        """Whether the last poll of the platform succeeded."""
        return self._connected

    @property
    def workers(self) -> list[Host]:
        """The listed workers."""
        return [host for host in self._hosts if host.kind is HostKind.WORKER]

    @property
    def endpoints(self) -> list[Host]:
        """The listed endpoints."""
        return [host for host in self._hosts if host.kind is HostKind.ENDPOINT]

    def listen(self, listener: Callable[[list[Host]], None]) -> None:
        """Calls ``listener`` with each list read."""
        self._listeners.append(listener)

    def stop(self) -> None:
        """Ends the polling."""
        self._running = False

    async def run(self) -> None:
        """Polls until stopped."""
        while self._running:
            listed = await self._platform.hosts()
            self._connected = isinstance(listed, Ok)
            if isinstance(listed, Err):
                await sleep(self._reactor, self._back_off.next_ms())
                continue
            self._back_off.reset()
            self._hosts = listed.ok_value
            for listener in self._listeners:
                listener(self._hosts)
            await sleep(self._reactor, POLL_INTERVAL_MS)
