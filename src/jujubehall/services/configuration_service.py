"""Follows and changes the configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Err
from result import Ok
from result import Result

from jujubehall.core.configuration.audit import segment_to_rotate
from jujubehall.core.configuration.audit import without_segment
from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.guarantees import place_guarantees
from jujubehall.core.configuration.race import lost_race
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Version
from jujubehall.services.audit_trail import AuditTrail

if TYPE_CHECKING:
    from jujubehall.core.configuration.guarantees import PackGuarantees
    from jujubehall.platform.entry import Entry
    from jujubehall.platform.interface import Platform
    from jujubehall.services.state_cache import StateCache

Change = Callable[[Configuration], Result[Configuration, Failure]]

MAX_ENTRIES_SEARCHED = 100
"""How far back a change is looked for by its writer's token."""

STEP = "change configuration"

log = structlog.get_logger()


class ConfigurationService:
    """The configuration in force here, and the way to change it.

    What is in force never goes back to an earlier number, whatever the platform or another
    entry host hands out.
    """

    def __init__(
        self, platform: Platform, cache: StateCache, pack: PackGuarantees | None = None
    ) -> None:
        self._cache = cache
        self._pack = pack
        self._trail = AuditTrail(platform)
        self._current = Configuration()
        self._version = Version(0)
        self._is_readable = True
        cache.listen(CONFIGURATION_KEY, self._on_entry)

    @property
    def current(self) -> Configuration:
        """The latest known configuration; the shipped defaults before any change."""
        return self._current

    @property
    def version(self) -> Version:
        """The platform's version of the latest known configuration, 0 if there is none."""
        return self._version

    @property
    def is_known(self) -> bool:
        """Whether a readable configuration, or the absence of one, was learned."""
        absent = self._cache.is_loaded and self._cache.entry(CONFIGURATION_KEY) is None
        return self._version > 0 or absent

    async def history(self, limit: int) -> Result[tuple[AuditEntry, ...], Failure]:
        """The latest ``limit`` changes, the latest first, also from before the recent entries."""
        found = await self._trail.latest(self._current, limit)
        return found.map(lambda entries: tuple(reversed(entries)))

    async def change(
        self, expected_number: int, change: Change, token: str = ""
    ) -> Result[Configuration, Failure]:
        """Applies ``change`` if the configuration still has the number that the operator read.

        A repeat with the same token returns the configuration that holds the first try. With
        ``NO_ANSWER`` it is unknown whether the change took effect: repeat it with its token.
        """
        if not self._is_readable:
            return Err(_unreadable())
        if self._current.number < expected_number:
            # The operator read a later configuration at another entry host.
            await self._cache.refresh_key(CONFIGURATION_KEY)
        current = self._current
        changed = self._attempt(current, change)
        if isinstance(changed, Ok):
            token = changed.ok_value.audit[-1].token
        if current.number != expected_number:
            return await self._recognise(expected_number, token)
        if isinstance(changed, Err):
            return changed
        return await self._write(current, changed.ok_value)

    def _attempt(self, current: Configuration, change: Change) -> Result[Configuration, Failure]:
        changed = change(current)
        if isinstance(changed, Err) or self._pack is None:
            return changed
        return place_guarantees(current, changed.ok_value, self._pack)

    async def _write(
        self, current: Configuration, changed: Configuration
    ) -> Result[Configuration, Failure]:
        version = self._cache.version(CONFIGURATION_KEY)
        segment = segment_to_rotate(current)
        if segment is not None:
            rotated = await self._trail.write(segment)
            if isinstance(rotated, Err):
                return Err(rotated.err_value)
            changed = without_segment(changed, segment)
        written = await self._cache.put(CONFIGURATION_KEY, changed, version)
        if isinstance(written, Ok):
            return Ok(changed)
        failure = written.err_value
        if self._current.number == current.number and failure.kind is not FailureKind.CONFLICT:
            return Err(failure)
        return await self._recognise(current.number, changed.audit[-1].token)

    async def _recognise(self, expected_number: int, token: str) -> Result[Configuration, Failure]:
        """Tells the winner of a race, who may have lost an answer, from those who lost it."""
        current = self._current
        missed = min(max(0, current.number - expected_number), MAX_ENTRIES_SEARCHED)
        found = await self._trail.latest(current, missed)
        since = found.unwrap_or(current.audit[-missed:] if missed else ())
        if token and any(entry.token == token for entry in since):
            return Ok(current)
        return Err(lost_race(expected_number, current.number, since))

    def _on_entry(self, entry: Entry) -> None:
        if entry.deleted:
            log.error("configuration deleted in the platform", number=self._current.number)
            return
        try:
            received = msgspec.convert(entry.value, Configuration)
        except msgspec.ValidationError as error:
            # A later release wrote it: what is in force stays until this process is replaced.
            self._is_readable = False
            log.error("configuration not readable", version=entry.version, error=str(error))
            return
        self._is_readable = True
        if received.number < self._current.number:
            log.error(
                "earlier configuration ignored",
                number=received.number,
                in_force=self._current.number,
            )
            return
        self._accept(received, entry.version)

    def _accept(self, received: Configuration, version: Version) -> None:
        assert received.number >= self._current.number, "the configuration never reverts"
        assert version > self._version, "versions only rise"
        self._current = received
        self._version = version
        log.info("configuration in force", number=received.number, version=version)


def _unreadable() -> Failure:
    detail = "a later release changed the configuration; use an entry host of that release"
    return Failure(FailureKind.UNAVAILABLE, STEP, "entry host", detail)
