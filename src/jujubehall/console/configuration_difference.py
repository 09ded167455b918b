"""What differs between two states of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from jujubehall.core.configuration.change import exception_path
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Defaults

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.configuration.document import AuditEntry


class Difference(msgspec.Struct, frozen=True):
    """One path of the configuration with its values before and after."""

    path: str
    before: Any
    after: Any


def differences_from_shipped(configuration: Configuration) -> list[Difference]:
    """How the configuration differs from the one that is shipped."""
    shipped = msgspec.to_builtins(Defaults())
    in_force = msgspec.to_builtins(configuration.defaults)
    defaults = [
        Difference(f"defaults.{key}", shipped[key], value)
        for key, value in in_force.items()
        if shipped[key] != value
    ]
    exceptions = [
        Difference(exception_path(e.scope, e.key), None, e) for e in configuration.exceptions
    ]
    teams = [Difference(f"teams.{t.name}", None, t) for t in configuration.teams]
    return [*defaults, *exceptions, *teams]


def differences_since(entries: Iterable[AuditEntry], number: int) -> list[Difference]:
    """The net effect, path by path, of the changes later than ``number``."""
    found: dict[str, Difference] = {}
    for entry in sorted(entries, key=lambda each: each.number):
        if entry.number <= number:
            continue
        first = found.get(entry.path)
        before = first.before if first else entry.before
        found[entry.path] = Difference(entry.path, before, entry.after)
    return [each for _, each in sorted(found.items()) if each.before != each.after]
