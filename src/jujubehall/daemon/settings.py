"""Daemon settings, read from a JSON file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.http.limits import HttpLimits
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from pathlib import Path

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"

Ipv4Address = Annotated[
    str,
    msgspec.Meta(
        # This address is also advertised to peers, so the wildcard address is rejected.
        pattern=rf"^(?!0\.0\.0\.0$){_OCTET}(\.{_OCTET}){{3}}$",
        description="an IPv4 address other than 0.0.0.0",
    ),
]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
MeshAddress = Annotated[str, msgspec.Meta(pattern=r"^tcp://[^/]+:[0-9]+$")]
BaseUrl = Annotated[
    str,
    msgspec.Meta(pattern=r"^http://[^/]+$", description="a base URL such as http://10.0.0.1:8500"),
]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and ports that the daemon listens on and advertises to its peers."""

    host: Ipv4Address
    http_port: Port
    mesh_port: Port


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry host."""

    name: Annotated[EntryHostName, msgspec.Meta(min_length=1, max_length=128)]
    zone: Annotated[ZoneName, msgspec.Meta(min_length=1, max_length=128)]
    platform: BaseUrl
    listen: ListenSettings
    seeds: tuple[MeshAddress, ...] = ()
    """Mesh addresses of entry hosts to ask for the configuration while the platform is down."""

    limits: HttpLimits = HttpLimits()
    memory_mb: Annotated[int, msgspec.Meta(ge=64, le=1_048_576)] = 0
    """Memory of the machine; without it, what the operating system reports."""

    stop_timeout_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 30_000
    """How long a graceful shutdown waits for requests in progress."""


def load_settings(path: Path) -> Result[Settings, list[str]]:
    """Reads and validates a settings file; returns one line per error if it is invalid."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return Err([f"cannot be read: {error.strerror}"])
    try:
        settings = msgspec.json.decode(content, type=Settings)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # Imported only on errors: jsonschema needs memory that a normal start saves.
        from jujubehall.daemon.settings_errors import find_errors

        return Err(find_errors(content) or [str(error)])
    if settings.listen.http_port == settings.listen.mesh_port:
        return Err(
            [f"$.listen.mesh_port: {settings.listen.mesh_port} must differ from $.listen.http_port"]
        )
    return Ok(settings)
