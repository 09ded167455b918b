"""Reads and changes the configuration by compare-and-swap."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.core.configuration.document import Configuration
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from jujubehall.core.configuration.document import AuditEntry
    from jujubehall.services.state_cache import StateCache

Change = Callable[[Configuration], Result[Configuration, Failure]]


class ConfigurationService:
    """The configuration in force here, and the way to change it."""

    def __init__(self, cache: StateCache) -> None:
        self._cache = cache

    @property
    def current(self) -> Configuration:
        """The latest known configuration; the shipped defaults before any change."""
        known = self._cache.read(CONFIGURATION_KEY, Configuration)
        return Configuration() if known is None else known

    async def history(self, limit: int) -> Result[tuple[AuditEntry, ...], Failure]:
        """The latest ``limit`` changes, the latest first."""
        entries = tuple(reversed(self.current.audit))
        return Ok(entries[:limit])

    async def change(self, expected_number: int, change: Change) -> Result[Configuration, Failure]:
        """Applies ``change`` if the configuration still has the number that the operator read."""
        current = self.current
        version = self._cache.version(CONFIGURATION_KEY)
        if current.number != expected_number:
            return Err(_lost_race(current, expected_number))
        changed = change(current)
        if isinstance(changed, Err):
            return changed
        written = await self._cache.put(CONFIGURATION_KEY, changed.ok_value, version)
        if isinstance(written, Ok):
            return changed
        return self._settle(changed.ok_value, written.err_value, expected_number)

    def _settle(
        self, written: Configuration, failure: Failure, expected_number: int
    ) -> Result[Configuration, Failure]:
        current = self.current
        token = written.audit[-1].token
        if any(entry.token == token for entry in current.audit):
            return Ok(current)
        if failure.kind is FailureKind.CONFLICT or current.number != expected_number:
            return Err(_lost_race(current, expected_number))
        return Err(failure)


def _lost_race(current: Configuration, expected_number: int) -> Failure:
    last = current.audit[-1] if current.audit else None
    winner = f"; {last.author} changed {last.path}: {last.reason}" if last else ""
    detail = f"the configuration is at {current.number}, not at {expected_number}{winner}"
    return Failure(FailureKind.CONFLICT, "change configuration", "operator", detail)
