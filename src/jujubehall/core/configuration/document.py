"""The configuration document: fleet defaults, exceptions, teams and recent audit entries.

It is one value in the platform's service. Each change and its audit entry are written in the
same compare-and-swap, so that neither exists without the other.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any

import msgspec

from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

CONFIGURATION_KEY = "state/configuration"
AUDIT_PREFIX = "audit/"
MAX_RECENT_AUDIT_ENTRIES = 200

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]


class Defaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet-wide settings; an exception overrides one of them within its scope."""

    endpoint_slots: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 8
    endpoint_connections: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 60
    fragmentation_weight: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.5
    """0 weighs completion time only, 1 weighs fragmentation only."""

    foreign_accelerators: Count = 0
    """Accelerators of each worker that are the older scheduler's share, used or not."""


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A number of blocks, each of so many adjacent accelerators (in one rack)."""

    blocks: Annotated[int, msgspec.Meta(ge=1, le=64)]
    accelerators_per_block: Annotated[int, msgspec.Meta(ge=1, le=64)]


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team with the shape that it can reclaim at any moment and its limit of accelerators."""

    name: Annotated[TeamName, msgspec.Meta(min_length=1, max_length=128)]
    guarantee: Shape | None = None
    accelerator_quota: Count | None = None
    blocks_by_zone: dict[ZoneName, int] = {}


class ConfigurationException(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Overrides one default within a scope, for a written reason."""

    scope: Text
    key: Text
    value: Any
    reason: Text
    author: Text


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


class Configuration(msgspec.Struct, frozen=True):
    """The whole document; ``number`` counts its changes."""

    number: int = 0
    defaults: Defaults = Defaults()
    exceptions: tuple[ConfigurationException, ...] = ()
    teams: tuple[Team, ...] = ()
    audit: tuple[AuditEntry, ...] = ()

    def team(self, name: TeamName) -> Team | None:
        """The team called ``name``, if there is one."""
        return next((team for team in self.teams if team.name == name), None)
