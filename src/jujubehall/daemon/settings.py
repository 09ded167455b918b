"""Settings of the daemon, read from one JSON file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from pathlib import Path


Host = Annotated[str, msgspec.Meta(min_length=1, max_length=253)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
MeshAddress = Annotated[str, msgspec.Meta(pattern=r"^tcp://[^/]+:[0-9]+$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^http://[^/]+$")]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The addresses at which the daemon listens, and at which others reach it."""

    host: Host
    http_port: Port
    mesh_port: Port


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one entry host."""

    name: Annotated[EntryHostName, msgspec.Meta(min_length=1, max_length=128)]
    zone: Annotated[ZoneName, msgspec.Meta(min_length=1, max_length=128)]
    platform: Url
    listen: ListenSettings
    seeds: tuple[MeshAddress, ...] = ()
    """Mesh addresses of entry hosts to ask for the configuration while the platform is down."""

    stop_timeout_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 30_000
    """How long a planned stop waits for the requests in progress."""


def load_settings(path: Path) -> Result[Settings, list[str]]:
    """Reads and checks a settings file; on failure returns a line for each fault."""
    try:
        return Ok(msgspec.json.decode(path.read_bytes(), type=Settings))
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
    except msgspec.DecodeError as error:
        return Err([str(error)])
