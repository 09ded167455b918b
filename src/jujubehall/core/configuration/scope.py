"""Scopes of exceptions: the part of the site to which an exception applies."""

from __future__ import annotations

from enum import Enum

from result import Err
from result import Ok
from result import Result

MAX_NAME_LENGTH = 128


class ScopeKind(Enum):
    """The kind of object that a scope names."""

    TEAM = "team"
    ZONE = "zone"
    ENDPOINT = "endpoint"
    WORKER = "worker"


def exception_scope(kind: ScopeKind, name: str) -> str:
    """Returns the scope of a team, zone, endpoint or worker, such as ``team/studio``."""
    return f"{kind.value}/{name}"


def check_scope(scope: str) -> Result[str, str]:
    """Returns ``scope`` if it is well formed, otherwise an error message."""
    kind, separator, name = scope.partition("/")
    kinds = [each.value for each in ScopeKind]
    if not separator or kind not in kinds:
        return Err(f"{scope!r} is not one of {', '.join(f'{each}/<name>' for each in kinds)}")
    if not 1 <= len(name) <= MAX_NAME_LENGTH:
        return Err(f"the name must have 1 to {MAX_NAME_LENGTH} characters")
    if "/" in name or not name.isprintable():
        return Err("the name must not contain '/' or control characters")
    return Ok(scope)
