"""Loads the settings file that the platform provides."""

from __future__ import annotations

import os
import tomllib

from pathlib import Path

import msgspec

from msgspec import field
from result import Err
from result import Ok
from result import Result

from jujubehall.core.ownership.capacity import HostCapacity
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import ZoneName

SETTINGS_PATH_VARIABLE = "JUJUBEHALL_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/jujubehall/local.toml"
MILLICORES_PER_CORE = 1000


class ListenAddresses(msgspec.Struct, frozen=True):
    """Listen addresses as host:port; empty for an interface that the role does not serve."""

    front: str = ""
    readiness: str = ""


class SiteLimits(msgspec.Struct, frozen=True):
    """Guarantees and limits of the site; times are in milliseconds unless named otherwise."""

    max_lease_ms: int = field(name="maxHoldMs", default=6_000)
    """The longest lease that a worker grants for its runs."""

    gang_start_timeout_ms: int = field(name="gangTimeoutMs", default=3_000)
    """How long a member of a gang waits on its worker for the others, until it is ended."""

    revocation_deadline_ms: int = field(name="revokeMs", default=5_000)
    """Time after which no entry host may accept a revoked API key."""

    is_revocation_strict: bool = field(name="strictRevoke", default=False)
    """Whether ``revocation_deadline_ms`` also applies to entry hosts that can't reach the store."""

    ended_job_retention_s: float = field(name="status_s", default=120.0)
    """How long the state of a job must remain available after the job has ended."""

    evacuation_deadline_ms: int | None = field(name="evacuateMs", default=None)
    """Time from an evacuation of a zone until nothing may be started there any more.

    None if the operators of the site don't evacuate zones.
    """

    stop_grace_s: float = field(name="graceS", default=6.0)
    """Time between SIGTERM and SIGKILL."""


class HostLimits(msgspec.Struct, frozen=True):
    """Resources of the machine; 0 if the platform doesn't say."""

    cpu_share: float = field(name="cpuShare", default=0.0)
    """Share of the processor's time that the machine may use."""

    speed_factor: float = field(name="cores", default=0.0)
    """Speed of the processor in relation to one core; not a number of processors."""

    link_mbps: float = field(name="linkMbps", default=0.0)
    memory_mb: int = field(name="memoryMb", default=0)
    descriptors: int = field(name="maxFds", default=0)

    @property
    def capacity(self) -> HostCapacity:
        """The limits as the capacity of an entry host."""
        return HostCapacity(
            round(self.cpu_share * self.speed_factor * MILLICORES_PER_CORE), round(self.link_mbps)
        )


class StoreAddress(msgspec.Struct, frozen=True):
    """Address of the platform's store."""

    address: str


class CloudAddress(msgspec.Struct, frozen=True):
    """Address of the cloud API that manages the workers' machines; empty if there is none."""

    address: str = ""


class SiteSettings(msgspec.Struct, frozen=True):
    """The platform settings that a process uses; other fields of the file are ignored."""

    name: EntryHostName = field(name="nodeName")
    ip: str
    zone: ZoneName
    port_range: tuple[int, int] = field(name="portRange")
    listen: ListenAddresses
    store: StoreAddress = field(name="platform")
    bounds: SiteLimits = SiteLimits()
    limits: HostLimits = HostLimits()
    cloud: CloudAddress = CloudAddress()
    advice: str = ""
    """Address of the service that decides which workers may run a step; empty if there is none."""


def load_site_settings(path: Path | None = None) -> Result[SiteSettings, str]:
    """Loads the settings from ``path``, by default from the file named by ``JUJUBEHALL_BOOT``.

    The error text names the file and the cause.
    """
    path = path or Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        return Ok(msgspec.convert(content, SiteSettings, strict=False))
    except OSError as error:
        return Err(f"{path}: cannot be read: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        return Err(f"{path}: {error}")
