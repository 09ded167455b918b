"""Keeps an entry host's copy of the site's configuration current, and knows how current it is."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from result import Err

from jujubehall.platform.site_store import ABSENT
from jujubehall.services.timing import repeat
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.entry_hosts.messages import SiteConfigurationOffered
    from jujubehall.platform.site_store import ConfigurationRead
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteDirectory

WATCH_WAIT_MS = 1_000
"""Each return of the watch proves that the configuration is current."""

REFRESH_AGE_MS = 1_000
"""A copy of this age is refreshed; with the owner's own age it stays under half of the time in
which a revoked key must go out of use."""

IDLE_INTERVAL_MS = 200
RETRY_INTERVAL_MS = 200

AskOwner = Callable[[int], Awaitable["SiteConfigurationOffered | None"]]

log = structlog.get_logger()


class ConfigurationFollower:
    """Reads configurations from the store, or takes them from other entry hosts.

    The version only rises. ``age_ms`` is how long ago it was last known that there was no later
    one: a revoked key may be in use for as long.
    """

    def __init__(self, reactor: Reactor, clock: Clock, directory: SiteDirectory) -> None:
        self._reactor = reactor
        self._clock = clock
        self._directory = directory
        self._current: SiteConfiguration | None = None
        self._content = b""
        self._revision: Revision = ABSENT
        self._current_at_ms: int | None = None
        self._ask_owner: AskOwner | None = None
        self._must_read_store: Callable[[], bool] = lambda: False
        self._listeners: list[Callable[[SiteConfiguration], None]] = []

    @property
    def current(self) -> SiteConfiguration | None:
        """The configuration in force here; None before the first."""
        return self._current

    @property
    def content(self) -> bytes:
        """The bytes that it was decoded from, to be passed on."""
        return self._content

    @property
    def version(self) -> int:
        """The version in force here; 0 before the first."""
        return self._current.version if self._current is not None else 0

    @property
    def age_ms(self) -> int | None:
        """How long ago it was known to be the latest."""
        return None if self._current_at_ms is None else self._clock.now_ms - self._current_at_ms

    def on_change(self, listener: Callable[[SiteConfiguration], None]) -> None:
        """Has ``listener`` called with each newer configuration."""
        self._listeners.append(listener)

    def read_store_while(self, condition: Callable[[], bool]) -> None:
        """Has the store read by this entry host itself while ``condition`` holds."""
        self._must_read_store = condition

    def ask_owner_by(self, ask: AskOwner) -> None:
        """Sets how the owner of the site is asked for its configuration."""
        self._ask_owner = ask

    def wake(self) -> None:
        """Has the owner asked at once: it has a newer configuration."""
        start(self._read_from_owner())

    async def run(self) -> None:
        """Follows the store until the process ends."""
        await repeat(self._reactor, "configuration", self._follow, lambda: False)

    async def _follow(self) -> None:
        age_ms = self.age_ms
        if self._must_read_store():
            is_read = await self._read()
        elif age_ms is not None and age_ms < REFRESH_AGE_MS:
            await sleep(self._reactor, IDLE_INTERVAL_MS)
            return
        else:
            is_read = await self._read_from_owner() or await self._read()
        if not is_read:
            await sleep(self._reactor, RETRY_INTERVAL_MS)

    async def _read_from_owner(self) -> bool:
        """Asks the owner, and takes its word only from the moment of the question on.

        A message that the owner sent by itself might have been held up on its way.
        """
        if self._ask_owner is None:
            return False
        asked_ms = self._clock.now_ms
        offered = await self._ask_owner(self.version)
        if offered is None or offered.age_ms > REFRESH_AGE_MS + WATCH_WAIT_MS:
            return False
        if offered.content:
            decoded = self._directory.decode_configuration(offered.content)
            if isinstance(decoded, Err):
                log.error("offered configuration ignored", failure=str(decoded.err_value))
                return False
            self._apply(decoded.ok_value, offered.content)
        if offered.version == self.version:
            self._note_current(asked_ms - offered.age_ms)
        return offered.version == self.version

    async def _read(self) -> bool:
        asked_ms = self._clock.now_ms
        if self._revision == ABSENT:
            found = await self._directory.configuration()
        else:
            found = await self._directory.wait_for_configuration(self._revision, WATCH_WAIT_MS)
        if isinstance(found, Err):
            self._revision = ABSENT
            return False
        read: ConfigurationRead | None = found.ok_value
        if read is not None:
            self._revision = read.revision
            self._apply(read.configuration, read.content)
        elif self._revision == ABSENT:
            return False
        waited_ms = self._clock.now_ms - asked_ms
        unchanged = read is None and waited_ms >= WATCH_WAIT_MS
        # A watch without news was answered no earlier than its waiting time after the question.
        self._note_current(asked_ms + (WATCH_WAIT_MS if unchanged else 0))
        return True

    def _apply(self, configuration: SiteConfiguration, content: bytes) -> None:
        if configuration.version <= self.version:
            return
        self._current = configuration
        self._content = content
        log.info("configuration in force", version=configuration.version)
        for listener in self._listeners:
            listener(configuration)

    def _note_current(self, at_ms: int) -> None:
        if self._current is not None:
            self._current_at_ms = max(self._current_at_ms or at_ms, at_ms)
