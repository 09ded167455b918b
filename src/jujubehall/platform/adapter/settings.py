"""The settings file that the platform writes."""

from __future__ import annotations

import os
import tomllib

from pathlib import Path

import msgspec

from msgspec import field
from result import Err
from result import Ok
from result import Result

from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import ZoneName

PATH_VARIABLE = "JUJUBEHALL_BOOT"
DEFAULT_PATH = "/etc/jujubehall/local.toml"


class ListenAddresses(msgspec.Struct, frozen=True):
    """Addresses as host:port; empty where the role does not serve them."""

    front: str = ""
    readiness: str = ""


class Bounds(msgspec.Struct, frozen=True):
    """The site's promises and limits; times are in milliseconds unless named otherwise."""

    longest_lease_ms: int = field(name="maxHoldMs", default=6_000)
    """The longest lease that a worker grants what it runs."""

    revoke_ms: int = field(name="revokeMs", default=5_000)
    """After this time a revoked key must not be accepted anywhere."""

    is_revocation_strict: bool = field(name="strictRevoke", default=False)
    """Whether that holds for entry hosts without a path to the store, too."""

    keep_ended_s: float = field(name="status_s", default=120.0)
    """How long the state of an ended job must be shown."""

    stop_grace_s: float = field(name="graceS", default=6.0)
    """From SIGTERM to SIGKILL."""


class StoreAddress(msgspec.Struct, frozen=True):
    """Where the store is."""

    address: str


class CloudAddress(msgspec.Struct, frozen=True):
    """Where the cloud is that runs the machines of the workers; empty if there is none."""

    address: str = ""


class SiteSettings(msgspec.Struct, frozen=True):
    """What a process needs of the platform's settings."""

    name: EntryHostName = field(name="nodeName")
    ip: str
    zone: ZoneName
    port_range: tuple[int, int] = field(name="portRange")
    listen: ListenAddresses
    store: StoreAddress = field(name="platform")
    bounds: Bounds = Bounds()
    cloud: CloudAddress = CloudAddress()
    advice: str = ""
    """Address of the service that says which workers may run a step; empty if there is none."""


def load_site_settings(path: Path | None = None) -> Result[SiteSettings, str]:
    """Reads the file that the environment names; on failure says which file and why."""
    path = path or Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        return Ok(msgspec.convert(content, SiteSettings, strict=False))
    except OSError as error:
        return Err(f"{path}: cannot be read: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        return Err(f"{path}: {error}")
