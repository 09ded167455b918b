"""The configuration document: fleet defaults, exceptions, teams and recent audit entries.

It is one value in the platform's service. Each change and its audit entry are written in the
same compare-and-swap, so that neither exists without the other.
"""

from __future__ import annotations

from functools import cached_property
from typing import Annotated
from typing import Any

import msgspec

from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

CONFIGURATION_KEY = "state/configuration"

MAX_TEAMS = 1_000
MAX_EXCEPTIONS = 500
MAX_CONTENT_BYTES = 400_000
"""Bound on the encoded document without its audit entries."""

PRINTABLE = r"^[^\x00-\x1f\x7f]+\Z"
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=500, pattern=PRINTABLE)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=PRINTABLE)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]


class Defaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet-wide settings; an exception overrides one of them within its scope."""

    endpoint_slots: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 8
    endpoint_connections: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 60
    fragmentation_weight: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.5
    """0 weighs completion time only, 1 weighs fragmentation only."""


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A number of blocks, each of so many adjacent accelerators (in one rack)."""

    blocks: Annotated[int, msgspec.Meta(ge=1, le=64)]
    accelerators_per_block: Annotated[int, msgspec.Meta(ge=1, le=64)]

    @property
    def accelerators(self) -> int:
        """The accelerators of all blocks together."""
        return self.blocks * self.accelerators_per_block


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team with the shape that it can reclaim at any moment and its limit of accelerators.

    ``blocks_by_zone`` says in which availability zones the blocks of the guarantee are kept. It
    is worked out when a team changes; what an operator gives for it is replaced.
    """

    name: Annotated[TeamName, msgspec.Meta(min_length=1, max_length=128, pattern=PRINTABLE)]
    guarantee: Shape | None = None
    accelerator_quota: Count | None = None
    blocks_by_zone: dict[ZoneName, int] = {}


class ConfigurationException(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Overrides one default within a scope, for a written reason."""

    scope: Text
    key: Text
    value: Any
    reason: Text
    author: Name
    since_unix_ms: int = 0


class AuditEntry(msgspec.Struct, frozen=True):
    """One change: who made it, why, and what was there before and after."""

    number: int
    time_unix_ms: int
    author: str
    reason: str
    path: str
    before: Any
    after: Any
    token: str
    """Drawn by the writer, so that it recognises its own change after a lost answer."""


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, dict=True):
    """The whole document; ``number`` counts its changes and never falls.

    An entry host of an earlier release refuses to read, and so to overwrite, a document with
    fields that it doesn't know.
    """

    number: int = 0
    defaults: Defaults = Defaults()
    exceptions: tuple[ConfigurationException, ...] = ()
    teams: tuple[Team, ...] = ()
    audit: tuple[AuditEntry, ...] = ()
    """The latest changes, oldest first; earlier ones are in segments of the audit trail."""

    def team(self, name: TeamName) -> Team | None:
        """The team called ``name``, if there is one."""
        return self._teams_by_name.get(name)

    def exception(self, scope: str, key: str) -> ConfigurationException | None:
        """The exception for ``key`` in ``scope``, if there is one."""
        return self._exceptions_by_key.get((scope, key))

    def value(self, key: str, *scopes: str) -> Any:
        """The value in force: that of the first scope with an exception, or else the default.

        Scopes go from the most to the least specific:

            configuration.value("endpoint_slots", "endpoint/booking-3", "zone/lagos-island")
        """
        for scope in scopes:
            exception = self.exception(scope, key)
            if exception is not None:
                return exception.value
        return getattr(self.defaults, key)

    @cached_property
    def _teams_by_name(self) -> dict[TeamName, Team]:
        return {team.name: team for team in self.teams}

    @cached_property
    def _exceptions_by_key(self) -> dict[tuple[str, str], ConfigurationException]:
        return {(each.scope, each.key): each for each in self.exceptions}
