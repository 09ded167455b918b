"""Scheduling settings of the deployment, read from an optional JSON file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

if TYPE_CHECKING:
    from pathlib import Path


class SchedulingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches for parts of the scheduling; all are off by default."""

    refuse_when_overloaded: bool = False
    """Whether jobs are refused that are expected to end when they are of no more use."""


DEFAULT_SCHEDULING = SchedulingSettings()


def load_scheduling_settings(path: Path | None) -> Result[SchedulingSettings, list[str]]:
    """Reads and validates the file; returns one line per error if it is invalid.

    Without a path, the defaults apply.
    """
    if path is None:
        return Ok(DEFAULT_SCHEDULING)
    try:
        content = path.read_bytes()
    except OSError as error:
        return Err([f"cannot be read: {error.strerror}"])
    try:
        return Ok(msgspec.json.decode(content, type=SchedulingSettings))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # Imported only on errors: jsonschema needs memory that a normal start saves. Entry hosts may
        # do without it; then only the first error is reported.
        try:
            from jujubehall.daemon.settings_errors import find_errors
        except ModuleNotFoundError:
            return Err([str(error)])
        return Err(find_errors(content, SchedulingSettings) or [str(error)])
