"""Polls the platform's list of hosts, which may lag behind their actual state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from jujubehall.platform.host import HostKind
from jujubehall.services.async_utils import BackOff
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.platform.host import Host
    from jujubehall.platform.interface import Platform

POLL_INTERVAL_MS = 1_000


class HostList:
    """The latest list of hosts read from the platform.

    While the platform is unreachable, the last list stays in use.
    """

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
        """The workers in the latest list."""
        return [host for host in self._hosts if host.kind is HostKind.WORKER]

    @property
    def endpoints(self) -> list[Host]:
        """The endpoints in the latest list."""
        return [host for host in self._hosts if host.kind is HostKind.ENDPOINT]

    def listen(self, listener: Callable[[list[Host]], None]) -> None:
        """Calls ``listener`` with the list of hosts after each successful poll."""
        self._listeners.append(listener)

    def stop(self) -> None:
        """Stops polling."""
        self._running = False

    async def run(self) -> None:
        """Polls the platform until stopped, with back-off after a failed poll."""
        while self._running:
            result = await self._platform.hosts()
            self._connected = isinstance(result, Ok)
            if isinstance(result, Err):
                await sleep(self._reactor, self._back_off.next_delay_ms())
                continue
            self._back_off.reset()
            self._hosts = result.ok_value
            for listener in self._listeners:
                listener(self._hosts)
            await sleep(self._reactor, POLL_INTERVAL_MS)
