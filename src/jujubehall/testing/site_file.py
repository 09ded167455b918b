"""A site file: the sizes and ports of a small site of stand-ins and entry hosts on loopback."""

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
    """A site; workers, endpoints and entry hosts are spread evenly over its zones.

    Ports are handed out from ``first_port`` on: the platform, two for each entry host, then one
    for each endpoint and each worker. 0 stands for a free block, found at the start.
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
        """The port of the platform's stand-in."""
        return self.first_port

    @property
    def platform_address(self) -> str:
        """The base address of the platform's stand-in."""
        return _address(self.platform_port)

    def zone(self, number: int) -> str:
        """The zone of the host with the given number among its kind."""
        return self.zones[number % len(self.zones)]

    def entry_host_ports(self, number: int) -> tuple[int, int]:
        """The HTTP port and the mesh port of an entry host."""
        return self.first_port + 1 + 2 * number, self.first_port + 2 + 2 * number

    def endpoint_hosts(self) -> list[Host]:
        """The endpoints."""
        first = self.first_port + 1 + 2 * self.entry_hosts
        return [
            Host(f"endpoint-{n}", HostKind.ENDPOINT, _address(first + n), self.zone(n))
            for n in range(self.endpoints)
        ]

    def worker_hosts(self) -> list[Host]:
        """The workers; a rack lies in one zone."""
        first = self.first_port + 1 + 2 * self.entry_hosts + self.endpoints
        return [self._worker(n, first + n) for n in range(self.workers)]

    def _worker(self, number: int, port: int) -> Host:
        rack = number // self.workers_per_rack
        zone = self.zone(rack)
        return Host(f"worker-{number}", HostKind.WORKER, _address(port), zone, f"rack-{rack}")


def _address(port: int) -> str:
    return f"http://{LOOPBACK}:{port}"
