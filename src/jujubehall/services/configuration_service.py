"""Tracks and changes the site configuration."""

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
from jujubehall.core.configuration.conflict import conflict_failure
from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.guarantees import place_guarantees
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

MAX_AUDIT_ENTRIES_SEARCHED = 100
"""How many of the latest audit entries are searched for the token of a change."""

STEP = "change configuration"

log = structlog.get_logger()


class ConfigurationService:
    """Holds this entry host's active configuration and applies changes to it.

    The active configuration never reverts to a lower number, even if the platform or another
    entry host returns an earlier one.
    """

    def __init__(
        self, platform: Platform, cache: StateCache, pack_guarantees: PackGuarantees | None = None
    ) -> None:
        self._cache = cache
        self._pack_guarantees = pack_guarantees
        self._audit_trail = AuditTrail(platform)
        self._current = Configuration()
        self._version = Version(0)
        self._is_readable = True
        cache.listen(CONFIGURATION_KEY, self._on_entry)

    @property
    def current(self) -> Configuration:
        """The latest known configuration; the built-in defaults before any change."""
        return self._current

    @property
    def version(self) -> Version:
        """The platform version of the latest known configuration, or 0 if there is none."""
        return self._version

    @property
    def is_known(self) -> bool:
        """Whether a readable configuration was received, or the platform is known to hold none."""
        absent = self._cache.is_loaded and self._cache.entry(CONFIGURATION_KEY) is None
        return self._version > 0 or absent

    async def history(self, limit: int) -> Result[tuple[AuditEntry, ...], Failure]:
        """Returns the latest ``limit`` changes, newest first, including those in audit segments."""
        found = await self._audit_trail.latest(self._current, limit)
        return found.map(lambda entries: tuple(reversed(entries)))

    async def change(
        self, expected_number: int, change: Change, token: str = ""
    ) -> Result[Configuration, Failure]:
        """Applies ``change`` if the configuration still has ``expected_number``.

        The call is idempotent by token: a retry with the same token returns the configuration
        that contains the first attempt. After ``NO_ANSWER`` it is unknown whether the change took
        effect; retry it with its token. Fails with ``CONFLICT`` if another change came first.
        """
        if not self._is_readable:
            return Err(_unreadable_failure())
        if self._current.number < expected_number:
            # The operator read a later configuration on another entry host.
            await self._cache.refresh_key(CONFIGURATION_KEY)
        current = self._current
        changed = self._apply_change(current, change)
        if isinstance(changed, Ok):
            token = changed.ok_value.audit[-1].token
        if current.number != expected_number:
            return await self._find_change_by_token(expected_number, token)
        if isinstance(changed, Err):
            return changed
        return await self._write(current, changed.ok_value)

    def _apply_change(
        self, current: Configuration, change: Change
    ) -> Result[Configuration, Failure]:
        changed = change(current)
        if isinstance(changed, Err) or self._pack_guarantees is None:
            return changed
        return place_guarantees(current, changed.ok_value, self._pack_guarantees)

    async def _write(
        self, current: Configuration, changed: Configuration
    ) -> Result[Configuration, Failure]:
        version = self._cache.version(CONFIGURATION_KEY)
        segment = segment_to_rotate(current)
        if segment is not None:
            rotated = await self._audit_trail.write(segment)
            if isinstance(rotated, Err):
                return Err(rotated.err_value)
            changed = without_segment(changed, segment)
        written = await self._cache.put(CONFIGURATION_KEY, changed, version)
        if isinstance(written, Ok):
            return Ok(changed)
        failure = written.err_value
        if self._current.number == current.number and failure.kind is not FailureKind.CONFLICT:
            return Err(failure)
        return await self._find_change_by_token(current.number, changed.audit[-1].token)

    async def _find_change_by_token(
        self, expected_number: int, token: str
    ) -> Result[Configuration, Failure]:
        """Returns the current configuration if it contains the change with ``token``.

        Otherwise fails with the later changes that conflict with it. This tells a change that
        took effect although its response was lost from one that lost the race.
        """
        current = self._current
        missed_count = min(max(0, current.number - expected_number), MAX_AUDIT_ENTRIES_SEARCHED)
        found = await self._audit_trail.latest(current, missed_count)
        later_entries = found.unwrap_or(current.audit[-missed_count:] if missed_count else ())
        if token and any(entry.token == token for entry in later_entries):
            return Ok(current)
        return Err(conflict_failure(expected_number, current.number, later_entries))

    def _on_entry(self, entry: Entry) -> None:
        if entry.deleted:
            log.error("configuration deleted from the platform", number=self._current.number)
            return
        try:
            received = msgspec.convert(entry.value, Configuration)
        except msgspec.ValidationError as error:
            # A later release wrote it: the active one is kept until this process is replaced.
            self._is_readable = False
            log.error("configuration could not be decoded", version=entry.version, error=str(error))
            return
        self._is_readable = True
        if received.number < self._current.number:
            log.error(
                "older configuration ignored",
                number=received.number,
                in_force=self._current.number,
            )
            return
        self._activate(received, entry.version)

    def _activate(self, received: Configuration, version: Version) -> None:
        assert received.number >= self._current.number, "the configuration number must not decrease"
        assert version > self._version, "the platform version must increase"
        self._current = received
        self._version = version
        log.info("configuration activated", number=received.number, version=version)


def _unreadable_failure() -> Failure:
    detail = "the configuration was written by a later release; use an entry host of that release"
    return Failure(FailureKind.UNAVAILABLE, STEP, "entry host", detail)
