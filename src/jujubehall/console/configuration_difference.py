"""Computes the differences between two versions of the configuration."""

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
    """A changed path of the configuration with its old and new value."""

    path: str
    before: Any
    after: Any


def differences_from_builtin(configuration: Configuration) -> list[Difference]:
    """Compares a configuration with the built-in one, which has no exceptions and no teams."""
    builtin = msgspec.to_builtins(Defaults())
    current = msgspec.to_builtins(configuration.defaults)
    defaults = [
        Difference(f"defaults.{key}", builtin[key], value)
        for key, value in current.items()
        if builtin[key] != value
    ]
    exceptions = [
        Difference(exception_path(e.scope, e.key), None, e) for e in configuration.exceptions
    ]
    teams = [Difference(f"teams.{t.name}", None, t) for t in configuration.teams]
    return [*defaults, *exceptions, *teams]


def differences_since(entries: Iterable[AuditEntry], number: int) -> list[Difference]:
    """Computes the net effect on each path of the changes after configuration ``number``.

    Returns the differences sorted by path. A path that has its old value again is left out.
    """
    by_path: dict[str, Difference] = {}
    for entry in sorted(entries, key=lambda entry: entry.number):
        if entry.number <= number:
            continue
        earlier = by_path.get(entry.path)
        before = earlier.before if earlier else entry.before
        by_path[entry.path] = Difference(entry.path, before, entry.after)
    return [diff for _, diff in sorted(by_path.items()) if diff.before != diff.after]
