"""Lists every fault of a settings file in one report."""

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

_PLAIN_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


def find_faults(content: bytes) -> list[str]:
    """Checks a file's content against the schema of the settings; a line for each fault.

    Each line begins with the path of the fault:

        $.listen.http_port: 70000 is greater than the maximum of 65535
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        return [f"$: not JSON: {error}"]
    validator = Draft202012Validator(msgspec.json.schema(Settings))
    faults = [line for error in validator.iter_errors(document) for line in _lines(error)]
    return sorted(faults)


def _lines(error: ValidationError) -> Iterator[str]:
    path = _path(error.absolute_path)
    schema: Any = error.schema
    document: Any = error.instance
    if error.validator == "required":
        missing = [name for name in schema["required"] if name not in document]
        # One error of this kind is raised for each missing key; its message names the key.
        name = next(name for name in missing if repr(name) in error.message)
        yield f"{_path([*error.absolute_path, name])}: is missing"
    elif error.validator == "additionalProperties":
        known = schema["properties"]
        for name in sorted(set(document) - set(known)):
            yield f"{_path([*error.absolute_path, name])}: unknown key"
    elif error.validator == "type":
        yield f"{path}: {_shown(document)} is not of type {error.validator_value}"
    elif error.validator == "pattern" and "description" in schema:
        yield f"{path}: {_shown(document)} is not {schema['description']}"
    else:
        yield f"{path}: {error.message}"


def _path(steps: Iterable[Any]) -> str:
    path = "$"
    for step in steps:
        if isinstance(step, int):
            path += f"[{step}]"
        elif _PLAIN_KEY.fullmatch(step):
            path += f".{step}"
        else:
            path += f"[{json.dumps(step)}]"
    return path


def _shown(value: Any) -> str:
    text = json.dumps(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
