"""Changes to the configuration, as pure functions from one document to the next.

Each function appends an audit entry for the change to the document that it returns, or returns a
``Failure`` that names the path of the invalid value.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.configuration.audit import MAX_ENTRY_BYTES
from jujubehall.core.configuration.document import MAX_CONTENT_BYTES
from jujubehall.core.configuration.document import MAX_EXCEPTIONS
from jujubehall.core.configuration.document import MAX_TEAMS
from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import ConfigurationException
from jujubehall.core.configuration.document import Defaults
from jujubehall.core.configuration.document import Name
from jujubehall.core.configuration.document import Team
from jujubehall.core.configuration.document import Text
from jujubehall.core.configuration.scope import check_scope
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from jujubehall.identifiers import TeamName

PEER = "operator"


class ChangeAuthor(msgspec.Struct, frozen=True):
    """Who changes the configuration, the reason, the writer's token and the wall-clock time."""

    name: Name
    reason: Text
    token: Name
    time_unix_ms: int


def set_default(
    configuration: Configuration, author: ChangeAuthor, key: str, value: Any
) -> Result[Configuration, Failure]:
    """Sets a fleet-wide default; rejects unknown keys and values out of range."""
    step = "set default"
    path = f"defaults.{key}"
    checked = _check_value(step, f"$.{path}", key, value)
    if isinstance(checked, Err):
        return checked
    before = getattr(configuration.defaults, key)
    defaults = msgspec.structs.replace(configuration.defaults, **{key: checked.ok_value})
    changed = msgspec.structs.replace(configuration, defaults=defaults)
    return _with_audit_entry(step, changed, author, path, before, checked.ok_value)


def add_exception(
    configuration: Configuration,
    author: ChangeAuthor,
    scope: str,
    key: str,
    value: Any,
    reason: str,
) -> Result[Configuration, Failure]:
    """Overrides a default within a scope, replacing any exception for the same scope and key.

    ``reason`` is stored with the exception until it is removed.
    """
    step = "add exception"
    path = exception_path(scope, key)
    checked_scope = check_scope(scope)
    if isinstance(checked_scope, Err):
        return Err(_invalid(step, f"$.{path}.scope: {checked_scope.err_value}"))
    checked = _check_value(step, f"$.{path}.value", key, value)
    if isinstance(checked, Err):
        return checked
    exception = ConfigurationException(
        scope, key, checked.ok_value, reason, author.name, author.time_unix_ms
    )
    error_text = _validation_error(exception)
    if error_text is not None:
        return Err(_invalid(step, error_text.replace("$", f"$.{path}", 1)))
    before = configuration.exception(scope, key)
    others = [each for each in configuration.exceptions if each is not before]
    if len(others) >= MAX_EXCEPTIONS:
        return Err(_invalid(step, f"$.exceptions: the limit of {MAX_EXCEPTIONS} is reached"))
    exceptions = tuple(sorted((*others, exception), key=lambda each: (each.scope, each.key)))
    changed = msgspec.structs.replace(configuration, exceptions=exceptions)
    return _with_audit_entry(step, changed, author, path, before, exception)


def remove_exception(
    configuration: Configuration, author: ChangeAuthor, scope: str, key: str
) -> Result[Configuration, Failure]:
    """Removes an exception, so that the default applies in its scope again."""
    step = "remove exception"
    path = exception_path(scope, key)
    before = configuration.exception(scope, key)
    if before is None:
        return Err(Failure(FailureKind.NOT_FOUND, step, PEER, f"$.{path}: does not exist"))
    exceptions = tuple(each for each in configuration.exceptions if each is not before)
    changed = msgspec.structs.replace(configuration, exceptions=exceptions)
    return _with_audit_entry(step, changed, author, path, before, None)


def put_team(
    configuration: Configuration, author: ChangeAuthor, team: Team
) -> Result[Configuration, Failure]:
    """Creates a team, or replaces the team of the same name.

    This does not check whether there is capacity for the team's guarantee; ``place_guarantees``
    does.
    """
    step = "put team"
    path = f"teams.{team.name}"
    error_text = _validation_error(team) or _quota_error(team)
    if error_text is not None:
        return Err(_invalid(step, error_text.replace("$", f"$.{path}", 1)))
    before = configuration.team(team.name)
    others = [each for each in configuration.teams if each.name != team.name]
    if len(others) >= MAX_TEAMS:
        return Err(_invalid(step, f"$.teams: the limit of {MAX_TEAMS} is reached"))
    # The blocks reserved for the team are kept until its guarantee has been placed again.
    blocks_by_zone = before.blocks_by_zone if before and team.guarantee else {}
    new_team = msgspec.structs.replace(team, blocks_by_zone=blocks_by_zone)
    teams = tuple(sorted((*others, new_team), key=lambda each: each.name))
    changed = msgspec.structs.replace(configuration, teams=teams)
    return _with_audit_entry(
        step, changed, author, path, _without_placement(before), _without_placement(new_team)
    )


def remove_team(
    configuration: Configuration, author: ChangeAuthor, name: TeamName
) -> Result[Configuration, Failure]:
    """Removes a team; rejected while the team has exceptions."""
    step = "remove team"
    path = f"teams.{name}"
    before = configuration.team(name)
    if before is None:
        return Err(Failure(FailureKind.NOT_FOUND, step, PEER, f"$.{path}: does not exist"))
    scope = f"team/{name}"
    exception_keys = [each.key for each in configuration.exceptions if each.scope == scope]
    if exception_keys:
        detail = f"$.{path}: remove the team's exceptions first: {', '.join(exception_keys)}"
        return Err(_invalid(step, detail))
    teams = tuple(each for each in configuration.teams if each.name != name)
    changed = msgspec.structs.replace(configuration, teams=teams)
    return _with_audit_entry(step, changed, author, path, _without_placement(before), None)


def exception_path(scope: str, key: str) -> str:
    """Returns the path that identifies an exception in the audit trail and in error messages."""
    return f"exceptions[{scope}].{key}"


def _without_placement(team: Team | None) -> Team | None:
    # The audit trail records the operators' decisions, not the placement computed from them.
    return team and msgspec.structs.replace(team, blocks_by_zone={})


def _with_audit_entry(
    step: str,
    configuration: Configuration,
    author: ChangeAuthor,
    path: str,
    before: Any,
    after: Any,
) -> Result[Configuration, Failure]:
    error_text = _validation_error(author)
    if error_text is not None:
        return Err(_invalid(step, error_text.replace("$", "$.author", 1)))
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
    content = msgspec.structs.replace(configuration, audit=())
    content_bytes = len(msgspec.json.encode(content))
    if content_bytes > MAX_CONTENT_BYTES:
        detail = f"$: document size {content_bytes} exceeds {MAX_CONTENT_BYTES} bytes"
        return Err(_invalid(step, detail))
    entry_bytes = len(msgspec.json.encode(entry))
    if entry_bytes > MAX_ENTRY_BYTES:
        detail = f"$.{path}: audit entry size {entry_bytes} exceeds {MAX_ENTRY_BYTES} bytes"
        return Err(_invalid(step, detail))
    audit = (*configuration.audit, entry)
    return Ok(msgspec.structs.replace(configuration, number=number, audit=audit))


def _check_value(step: str, path: str, key: str, value: Any) -> Result[Any, Failure]:
    if key not in Defaults.__struct_fields__:
        known = ", ".join(Defaults.__struct_fields__)
        return Err(_invalid(step, f"{path}: unknown key {key!r}; the known keys are {known}"))
    try:
        return Ok(getattr(msgspec.convert({key: value}, Defaults), key))
    except msgspec.ValidationError as error:
        return Err(_invalid(step, f"{path}: {_without_path(str(error))}"))


def _validation_error(struct: msgspec.Struct) -> str | None:
    try:
        msgspec.convert(msgspec.to_builtins(struct), type(struct))
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `")
        return f"{path.rstrip('`') or '$'}: {message}"
    return None


def _quota_error(team: Team) -> str | None:
    guaranteed = team.guarantee.accelerators if team.guarantee else 0
    if team.accelerator_quota is None or team.accelerator_quota >= guaranteed:
        return None
    return f"$.accelerator_quota: {team.accelerator_quota} is below the guarantee of {guaranteed}"


def _without_path(message: str) -> str:
    return message.partition(" - at `")[0]


def _invalid(step: str, detail: str) -> Failure:
    return Failure(FailureKind.INVALID, step, PEER, detail)
