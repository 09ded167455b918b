"""Reads the input files of the demonstration: site, teams, requests and jobs."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.callers.messages import JobSubmission
from jujubehall.console.input_file import read_input
from jujubehall.core.configuration.document import Team
from jujubehall.core.requests.request import Request
from jujubehall.testing.site_file import SiteFile

if TYPE_CHECKING:
    from jujubehall.console.call_failure import CallFailure

DATA_PACKAGE = "jujubehall.console.demo"


class DemoInputs(msgspec.Struct, frozen=True):
    """The decoded contents of the four input files."""

    site: SiteFile
    teams: list[Team]
    requests: list[Request]
    jobs: list[JobSubmission]


class DemoFiles(msgspec.Struct, frozen=True):
    """The paths of the input files; None selects the packaged file."""

    site: str | None = None
    teams: str | None = None
    requests: str | None = None
    jobs: str | None = None


def read_inputs(files: DemoFiles) -> Result[DemoInputs, CallFailure]:
    """Reads the four files; fails at the first invalid one, naming the file and the JSON path."""
    contents: dict[str, Any] = {}
    types = {"site": SiteFile, "teams": list[Team]}
    types |= {"requests": list[Request], "jobs": list[JobSubmission]}
    for name, type_ in types.items():
        path = getattr(files, name)
        result = read_input(Path(path) if path else _packaged_path(name), type_)
        if isinstance(result, Err):
            return result
        contents[name] = result.ok_value
    return Ok(DemoInputs(**contents))


def _packaged_path(name: str) -> Path:
    return Path(str(resources.files(DATA_PACKAGE) / "data" / f"{name}.json"))
