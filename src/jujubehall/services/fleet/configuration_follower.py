"""Keeps an entry host's copy of the site's configuration up to date and tracks its age."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from result import Err

from jujubehall.metrics import CONFIGURATION_READS
from jujubehall.platform.site_store import ABSENT
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.entry_hosts.messages import SiteConfigurationOffered
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteDirectory
    from jujubehall.platform.site_store import StoredConfiguration

WATCH_TIMEOUT_MS = 1_000
"""Timeout of one watch. Each return of the watch confirms that the configuration is current."""

REFRESH_AGE_MS = 1_000
"""Age at which an entry host refreshes its copy. Together with the age of the owner's copy it stays
below half of the time within which a revoked key must stop working."""

AGE_CHECK_INTERVAL_MS = 200
READ_RETRY_INTERVAL_MS = 200

OwnerQuery = Callable[[int, bool], Awaitable["SiteConfigurationOffered | None"]]

log = structlog.get_logger()


class ConfigurationFollower:
    """Reads the configuration from the store or fetches it from the owner of the site.

    The version never decreases. ``age_ms`` is the time since the copy was last known to be the
    latest version, and so the longest time for which a revoked key may still be accepted.
    """

    def __init__(self, reactor: Reactor, clock: Clock, directory: SiteDirectory) -> None:
        self._reactor = reactor
        self._clock = clock
        self._directory = directory
        self._current: SiteConfiguration | None = None
        self._content = b""
        self._revision: Revision = ABSENT
        self._confirmed_at_ms: int | None = None
        self._query_owner: OwnerQuery | None = None
        self._is_refreshing = False
        self._must_read_store: Callable[[], bool] = lambda: False
        self._listeners: list[Callable[[SiteConfiguration], None]] = []

    @property
    def current(self) -> SiteConfiguration | None:
        """The configuration in effect on this entry host; None until the first one is read."""
        return self._current

    @property
    def content(self) -> bytes:
        """The encoded form of the configuration, to be passed to other entry hosts."""
        return self._content

    @property
    def version(self) -> int:
        """The version in effect on this entry host; 0 until the first one is read."""
        return self._current.version if self._current is not None else 0

    @property
    def age_ms(self) -> int | None:
        """The time since the copy was last known to be the latest version; None until then."""
        return None if self._confirmed_at_ms is None else self._clock.now_ms - self._confirmed_at_ms

    def add_listener(self, listener: Callable[[SiteConfiguration], None]) -> None:
        """Registers ``listener`` to be called with each newer configuration."""
        self._listeners.append(listener)

    def set_store_read_condition(self, condition: Callable[[], bool]) -> None:
        """Makes this entry host read the store directly while ``condition`` returns True."""
        self._must_read_store = condition

    def set_owner_query(self, query: OwnerQuery) -> None:
        """Sets the function that requests the configuration from the owner of the site.

        It gets the known version, and whether the content is wanted even if it is large.
        """
        self._query_owner = query

    def request_refresh(self) -> None:
        """Refreshes the configuration at once, since the owner has announced a newer one.

        Does nothing while an earlier refresh is in progress: the owner announces the version with
        each heartbeat, and a large configuration may take longer to arrive.
        """
        if not self._is_refreshing:
            run_in_background(self._refresh())

    async def run(self) -> None:
        """Keeps the configuration up to date until the process ends."""
        await run_loop(self._reactor, "configuration", self._refresh_if_stale, lambda: False)

    async def _refresh_if_stale(self) -> None:
        age_ms = self.age_ms
        if self._must_read_store():
            is_read = await self._read_from_store()
        elif age_ms is not None and age_ms < REFRESH_AGE_MS:
            await sleep(self._reactor, AGE_CHECK_INTERVAL_MS)
            return
        else:
            is_read = await self._refresh()
        if not is_read:
            await sleep(self._reactor, READ_RETRY_INTERVAL_MS)

    async def _refresh(self) -> bool:
        """Reads the configuration from the owner or from the store, whichever has it.

        The owner sends a large configuration only if the store doesn't answer.
        """
        if self._is_refreshing:
            return False
        self._is_refreshing = True
        try:
            return (
                await self._read_from_owner()
                or await self._read_from_store()
                or await self._read_from_owner(include_large=True)
            )
        finally:
            self._is_refreshing = False

    async def _read_from_owner(self, include_large: bool = False) -> bool:
        """Requests the configuration from the owner and applies it if it is newer.

        Returns whether this entry host now has the owner's version. The age is counted from the
        time of the request. A message that the owner sent unasked says nothing about the age, since
        it may have been delayed on the network.
        """
        if self._query_owner is None:
            return False
        requested_ms = self._clock.now_ms
        offer = await self._query_owner(self.version, include_large)
        if offer is None:
            self._record_read("owner", "no-answer", requested_ms)
            return False
        if offer.age_ms > REFRESH_AGE_MS + WATCH_TIMEOUT_MS:
            self._record_read("owner", "outdated", requested_ms)
            return False
        if offer.content:
            decoded = self._directory.decode_configuration(offer.content)
            if isinstance(decoded, Err):
                log.error(
                    "invalid configuration from the owner ignored", failure=str(decoded.err_value)
                )
                self._record_read("owner", "invalid", requested_ms)
                return False
            self._apply(decoded.ok_value, offer.content)
        if offer.version != self.version:
            result = "older" if offer.version < self.version else "without-content"
            self._record_read("owner", result, requested_ms)
            return False
        self._confirm_current(requested_ms - offer.age_ms)
        CONFIGURATION_READS.inc({"source": "owner", "result": "ok"})
        return True

    async def _read_from_store(self) -> bool:
        requested_ms = self._clock.now_ms
        if self._revision == ABSENT:
            found = await self._directory.read_configuration()
        else:
            found = await self._directory.wait_for_configuration(self._revision, WATCH_TIMEOUT_MS)
        if isinstance(found, Err):
            self._record_read("store", str(found.err_value), requested_ms)
            self._revision = ABSENT
            return False
        read: StoredConfiguration | None = found.ok_value
        if read is not None:
            self._revision = read.revision
            self._apply(read.configuration, read.content)
        elif self._revision == ABSENT:
            return False
        waited_ms = self._clock.now_ms - requested_ms
        unchanged = read is None and waited_ms >= WATCH_TIMEOUT_MS
        # A watch without changes returns no earlier than its timeout after the request, so the
        # configuration was still current at that later time.
        self._confirm_current(requested_ms + (WATCH_TIMEOUT_MS if unchanged else 0))
        CONFIGURATION_READS.inc({"source": "store", "result": "ok"})
        return True

    def _record_read(self, source: str, result: str, requested_ms: int) -> None:
        """Logs and counts a read that has not confirmed the configuration."""
        CONFIGURATION_READS.inc({"source": source, "result": "failed"})
        log.info(
            "configuration not confirmed",
            source=source,
            result=result,
            version=self.version,
            took_ms=self._clock.now_ms - requested_ms,
            age_ms=self.age_ms,
        )

    def _apply(self, configuration: SiteConfiguration, content: bytes) -> None:
        if configuration.version <= self.version:
            return
        self._current = configuration
        self._content = content
        log.info("configuration in force", version=configuration.version)
        for listener in self._listeners:
            listener(configuration)

    def _confirm_current(self, at_ms: int) -> None:
        if self._current is not None:
            self._confirmed_at_ms = max(self._confirmed_at_ms or at_ms, at_ms)
