"""What the demonstration runs on: the site, its teams, requests and jobs."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.callers.messages import Submission
from jujubehall.console.input_file import read_input
from jujubehall.core.configuration.document import Team
from jujubehall.core.requests.request import Request
from jujubehall.testing.site_file import SiteFile

if TYPE_CHECKING:
    from jujubehall.console.call_failure import CallFailure

DATA_PACKAGE = "jujubehall.console.demo"


class DemoInputs(msgspec.Struct, frozen=True):
    """The content of the four input files."""

    site: SiteFile
    teams: list[Team]
    requests: list[Request]
    jobs: list[Submission]


class DemoFiles(msgspec.Struct, frozen=True):
    """The paths of the input files; None stands for the packaged one."""

    site: str | None = None
    teams: str | None = None
    requests: str | None = None
    jobs: str | None = None


def read_inputs(files: DemoFiles) -> Result[DemoInputs, CallFailure]:
    """Reads the four files; the first fault found is reported with its file and path."""
    read: dict[str, Any] = {}
    types = {"site": SiteFile, "teams": list[Team]}
    types |= {"requests": list[Request], "jobs": list[Submission]}
    for name, type_ in types.items():
        given = getattr(files, name)
        content = read_input(Path(given) if given else _packaged(name), type_)
        if isinstance(content, Err):
            return content
        read[name] = content.ok_value
    return Ok(DemoInputs(**read))


def _packaged(name: str) -> Path:
    return Path(str(resources.files(DATA_PACKAGE) / "data" / f"{name}.json"))
