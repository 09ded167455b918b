"""Changes of the configuration, as pure functions from one document to the next."""

from __future__ import annotations

from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Defaults
from jujubehall.core.configuration.document import Team
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind

PEER = "operator"


class ChangeAuthor(msgspec.Struct, frozen=True):
    """Who changes the configuration and why, with the writer's token and the wall-clock time."""

    name: str
    reason: str
    token: str
    time_unix_ms: int


def set_default(
    configuration: Configuration, author: ChangeAuthor, key: str, value: Any
) -> Result[Configuration, Failure]:
    """Sets one fleet default; refuses unknown keys and values out of range."""
    before = msgspec.to_builtins(configuration.defaults)
    if key not in before:
        return Err(_invalid("set default", f"$.defaults.{key}: unknown key"))
    try:
        defaults = msgspec.convert({**before, key: value}, Defaults)
    except msgspec.ValidationError as error:
        return Err(_invalid("set default", f"$.defaults.{key}: {error}"))
    changed = msgspec.structs.replace(configuration, defaults=defaults)
    return Ok(_recorded(changed, author, f"defaults.{key}", before[key], value))


def put_team(
    configuration: Configuration, author: ChangeAuthor, team: Team
) -> Result[Configuration, Failure]:
    """Creates a team, or replaces the one of the same name."""
    before = configuration.team(team.name)
    others = tuple(other for other in configuration.teams if other.name != team.name)
    teams = tuple(sorted((*others, team), key=lambda each: each.name))
    changed = msgspec.structs.replace(configuration, teams=teams)
    return Ok(_recorded(changed, author, f"teams.{team.name}", before, team))


def _recorded(
    configuration: Configuration, author: ChangeAuthor, path: str, before: Any, after: Any
) -> Configuration:
    number = configuration.number + 1
    entry = AuditEntry(
        number,
        author.time_unix_ms,
        author.name,
        author.reason,
        path,
        msgspec.to_builtins(before),
        msgspec.to_builtins(after),
        author.token,
    )
    audit = (*configuration.audit, entry)
    return msgspec.structs.replace(configuration, number=number, audit=audit)


def _invalid(step: str, detail: str) -> Failure:
    return Failure(FailureKind.INVALID, step, PEER, detail)
