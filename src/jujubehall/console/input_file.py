"""Reads the JSON files that are passed to commands."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.console.call_failure import CallFailure
from jujubehall.console.exit_codes import ExitCode

if TYPE_CHECKING:
    from pathlib import Path


def read_input(path: Path, type_: Any) -> Result[Any, CallFailure]:
    """Decodes a file as ``type_``; the failure names the file and the JSON path of the error."""
    try:
        return Ok(msgspec.json.decode(path.read_bytes(), type=type_))
    except OSError as error:
        message = f"{path}: {error.strerror}"
    except msgspec.DecodeError as error:
        message = f"{path}: {error}"
    return Err(CallFailure(ExitCode.INVALID, message, "read file", str(path)))
