"""The site file, which describes the sizes and ports of a test site on loopback."""

from __future__ import annotations

from typing import Annotated

import msgspec

from jujubehall.platform.host import Host
from jujubehall.platform.host import HostKind
from jujubehall.workers.messages import Resources

LOOPBACK = "127.0.0.1"
Port = Annotated[int, msgspec.Meta(ge=0, le=60_000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000)]


class SiteFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes and ports of a test site of entry hosts and stand-ins.

    Entry hosts, endpoints and racks of workers are assigned to the availability zones in turn.

    Ports are assigned in sequence from ``first_port``: one for the platform, two for each entry
    host (HTTP and mesh), one for each endpoint and one for each worker. If ``first_port`` is 0, the
    program that starts the site chooses a block of unused ports.
    """

    zones: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    entry_hosts: Count
    endpoints: Count
    workers: Count
    workers_per_rack: Count
    worker_capacity: Resources
    first_port: Port = 0

    @property
    def platform_port(self) -> int:
        """The port of the platform stand-in."""
        return self.first_port

    @property
    def platform_address(self) -> str:
        """The base URL of the platform stand-in."""
        return _base_url(self.platform_port)

    def zone(self, number: int) -> str:
        """Returns the zone of the entry host, endpoint or rack with the given number."""
        return self.zones[number % len(self.zones)]

    def entry_host_ports(self, number: int) -> tuple[int, int]:
        """Returns the HTTP port and the mesh port of the entry host with the given number."""
        return self.first_port + 1 + 2 * number, self.first_port + 2 + 2 * number

    def endpoint_hosts(self) -> list[Host]:
        """Returns the host-list entries of all endpoints."""
        base_port = self.first_port + 1 + 2 * self.entry_hosts
        return [
            Host(f"endpoint-{n}", HostKind.ENDPOINT, _base_url(base_port + n), self.zone(n))
            for n in range(self.endpoints)
        ]

    def worker_hosts(self) -> list[Host]:
        """Returns the host-list entries of all workers; all workers of a rack are in one zone."""
        base_port = self.first_port + 1 + 2 * self.entry_hosts + self.endpoints
        return [self._worker_host(n, base_port + n) for n in range(self.workers)]

    def _worker_host(self, number: int, port: int) -> Host:
        rack = number // self.workers_per_rack
        zone = self.zone(rack)
        return Host(f"worker-{number}", HostKind.WORKER, _base_url(port), zone, f"rack-{rack}")


def _base_url(port: int) -> str:
    return f"http://{LOOPBACK}:{port}"
