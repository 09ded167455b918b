"""Keeps an entry host's copy of the site's configuration up to date and tracks its age."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from result import Err

from jujubehall.errors import FailureKind
from jujubehall.metrics import CONFIGURATION_READS
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

WATCH_WAIT_MS = 600
"""How long the store may hold back its answer to a watch. Each answer confirms that the
configuration was current when the watch was sent."""

WATCH_ANSWER_TIMEOUT_MS = 500
"""Time beyond the wait after which a watch has failed. A slow store answers within 250 ms; a
connection that has gone silent must be noticed soon."""

STORE_RETRY_INTERVAL_MS = 200
"""Minimum time from a watch that fails, or returns early without a change, to the next one."""

OWNER_QUERY_AGE_MS = 1_500
"""Age at which the owner is asked as well: one watch has failed by then."""

MAX_OFFERED_AGE_MS = 2_000
"""Maximum age of the owner's copy. Together with ``OWNER_QUERY_AGE_MS`` it stays below the time
within which a revoked key must stop working."""

OWNER_CHECK_INTERVAL_MS = 200

FAILURES_UNTIL_LARGE_QUERY = 2
"""Consecutive failures of the store after which the owner is asked even for a large configuration.
A single one is often just a broken connection."""

OwnerQuery = Callable[[int, bool], Awaitable["SiteConfigurationOffered | None"]]

log = structlog.get_logger()


class ConfigurationFollower:
    """Follows the configuration in the store and, independently of that, the owner of the site.

    Neither waits for the other, so that a change arrives in time whichever of them doesn't answer.

    The version never decreases. ``age_ms`` is the time since the copy was last known to be the
    latest version, and so the longest time for which a revoked key may still be accepted.
    """

    def __init__(self, reactor: Reactor, clock: Clock, directory: SiteDirectory) -> None:
        self._reactor = reactor
        self._clock = clock
        self._directory = directory
        self._current: SiteConfiguration | None = None
        self._content = b""
        self._invalid_content = b""
        self._confirmed_at_ms: int | None = None
        self._query_owner: OwnerQuery | None = None
        self._announced_version = 0
        self._watch_revision: Revision | None = None
        """The revision from which the store is watched; None if it has to be read again."""

        self._has_latest = False
        """Whether the latest configuration that the store has returned is valid."""

        self._store_failures = 0
        """Number of consecutive failed calls to the store."""

        self._last_failures: dict[str, str] = {}
        """The failure of each source that doesn't confirm the configuration, to log it only once."""

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

    def set_owner_query(self, query: OwnerQuery) -> None:
        """Sets the function that requests the configuration from the owner of the site.

        It gets the known version, and whether the content is wanted even if it is large.
        """
        self._query_owner = query

    def note_announcement(self, version: int) -> None:
        """Records the version that the owner has announced, which is then requested from it."""
        self._announced_version = max(self._announced_version, version)

    async def run(self) -> None:
        """Keeps the configuration up to date until the process ends."""
        run_in_background(
            run_loop(self._reactor, "owner's configuration", self._follow_owner, lambda: False)
        )
        await run_loop(self._reactor, "configuration", self._follow_store, lambda: False)

    async def _follow_store(self) -> None:
        requested_ms = self._clock.now_ms
        # After a failure the store answers at once, which shows sooner whether it can be reached.
        wait_ms = 0 if self._store_failures else WATCH_WAIT_MS
        if self._watch_revision is None:
            found = await self._directory.read_configuration()
        else:
            found = await self._directory.wait_for_configuration(
                self._watch_revision, wait_ms, WATCH_ANSWER_TIMEOUT_MS
            )
        took_ms = self._clock.now_ms - requested_ms
        if isinstance(found, Err):
            self._store_failures += 1
            if found.err_value.kind is FailureKind.NOT_FOUND:
                # The store has discarded the history since this revision.
                self._watch_revision = None
            self._note_failure("store", str(found.err_value), requested_ms)
            await sleep(self._reactor, max(0, STORE_RETRY_INTERVAL_MS - took_ms))
            return
        self._store_failures = 0
        read = found.ok_value
        self._watch_revision = read.revision
        if read.content is not None:
            self._has_latest = self._accept(read.content, "store")
        if self._has_latest:
            # A watch may miss changes during the wait if the store is about to lose its history.
            self._confirm_current("store", requested_ms)
        if read.content is None and took_ms < wait_ms:
            await sleep(self._reactor, STORE_RETRY_INTERVAL_MS)

    async def _follow_owner(self) -> None:
        age_ms = self.age_ms
        is_late = age_ms is None or age_ms >= OWNER_QUERY_AGE_MS
        if is_late or self._announced_version > self.version:
            await self._read_from_owner()
        await sleep(self._reactor, OWNER_CHECK_INTERVAL_MS)

    async def _read_from_owner(self) -> None:
        """Requests the configuration from the owner and applies it if it is newer.

        The owner sends a large configuration only if the store doesn't answer. The age is counted
        from the time of the request. A message that the owner sent unasked says nothing about the
        age, since it may have been delayed on the network.
        """
        if self._query_owner is None:
            return
        requested_ms = self._clock.now_ms
        include_large = self._store_failures >= FAILURES_UNTIL_LARGE_QUERY
        offer = await self._query_owner(self.version, include_large)
        if offer is None:
            self._note_failure("owner", "no answer", requested_ms)
        elif offer.age_ms > MAX_OFFERED_AGE_MS:
            self._note_failure("owner", "outdated", requested_ms)
        elif offer.content and not self._accept(offer.content, "owner"):
            self._note_failure("owner", "invalid", requested_ms)
        elif offer.version < self.version:
            self._note_failure("owner", "older version", requested_ms)
        elif offer.version == self.version:
            self._confirm_current("owner", requested_ms - offer.age_ms)

    def _accept(self, content: bytes, source: str) -> bool:
        """Applies an encoded configuration if it is newer; returns whether it is valid."""
        if content == self._content:
            return True
        decoded = self._directory.decode_configuration(content)
        if isinstance(decoded, Err):
            if content != self._invalid_content:
                self._invalid_content = content
                log.error(
                    "invalid configuration ignored",
                    source=source,
                    version=self.version,
                    failure=str(decoded.err_value),
                )
            return False
        configuration = decoded.ok_value
        if configuration.version > self.version:
            self._current = configuration
            self._content = content
            log.info("configuration in force", version=configuration.version, source=source)
            for listener in self._listeners:
                listener(configuration)
        return True

    def _confirm_current(self, source: str, at_ms: int) -> None:
        self._last_failures.pop(source, None)
        CONFIGURATION_READS.inc({"source": source, "result": "ok"})
        if self._current is not None:
            self._confirmed_at_ms = max(self._confirmed_at_ms or at_ms, at_ms)

    def _note_failure(self, source: str, failure: str, requested_ms: int) -> None:
        """Counts a read that has not confirmed the configuration, and logs it if it is a new one."""
        CONFIGURATION_READS.inc({"source": source, "result": "failed"})
        if self._last_failures.get(source) == failure:
            return
        self._last_failures[source] = failure
        log.info(
            "configuration not confirmed",
            source=source,
            failure=failure,
            version=self.version,
            took_ms=self._clock.now_ms - requested_ms,
            age_ms=self.age_ms,
        )
