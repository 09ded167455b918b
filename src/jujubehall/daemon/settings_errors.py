"""Lists all errors of a settings file, not just the first one."""

from __future__ import annotations

import json
import re

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from jsonschema import Draft202012Validator

from jujubehall.daemon.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from jsonschema.exceptions import ValidationError

_UNQUOTED_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


def find_errors(content: bytes, settings_type: type = Settings) -> list[str]:
    """Validates the content of a settings file against the JSON schema of its type.

    Returns one line per error, sorted. Each line begins with the path of the invalid value:

        $.listen.http_port: 70000 is greater than the maximum of 65535
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        return [f"$: not JSON: {error}"]
    validator = Draft202012Validator(msgspec.json.schema(settings_type))
    errors = [line for error in validator.iter_errors(document) for line in _error_lines(error)]
    return sorted(errors)


def _error_lines(error: ValidationError) -> Iterator[str]:
    path = _json_path(error.absolute_path)
    schema: Any = error.schema
    instance: Any = error.instance
    if error.validator == "required":
        missing = [name for name in schema["required"] if name not in instance]
        # jsonschema reports one error for each missing key and names the key only in the message.
        name = next(name for name in missing if repr(name) in error.message)
        yield f"{_json_path([*error.absolute_path, name])}: is missing"
    elif error.validator == "additionalProperties":
        known = schema["properties"]
        for name in sorted(set(instance) - set(known)):
            yield f"{_json_path([*error.absolute_path, name])}: unknown key"
    elif error.validator == "type":
        yield f"{path}: {_abbreviate(instance)} is not of type {error.validator_value}"
    elif error.validator == "pattern" and "description" in schema:
        yield f"{path}: {_abbreviate(instance)} is not {schema['description']}"
    else:
        yield f"{path}: {error.message}"


def _json_path(segments: Iterable[Any]) -> str:
    path = "$"
    for segment in segments:
        if isinstance(segment, int):
            path += f"[{segment}]"
        elif _UNQUOTED_KEY.fullmatch(segment):
            path += f".{segment}"
        else:
            path += f"[{json.dumps(segment)}]"
    return path


def _abbreviate(value: Any) -> str:
    text = json.dumps(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
