"""Serves all stand-ins of a kind: ``python -m jujubehall.testing.stand_in KIND --site FILE``."""

from __future__ import annotations

import argparse

from pathlib import Path
from typing import Any

import msgspec

from twisted.internet import reactor as _reactor

from jujubehall.clock import system_clock
from jujubehall.http.limits import MIB
from jujubehall.http.limits import HttpLimits
from jujubehall.http.server import make_http_site
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.host import Host
from jujubehall.platform.host import HostKind
from jujubehall.testing import endpoint_stand_in
from jujubehall.testing import platform_stand_in
from jujubehall.testing import worker_stand_in
from jujubehall.testing.endpoint_stand_in import EndpointBehaviour
from jujubehall.testing.endpoint_stand_in import EndpointStandIn
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.platform_stand_in import PlatformStandIn
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.worker_stand_in import WorkerStandIn
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.testing.worker_state import WorkerState

# The platform stores values of up to 1 MB (MAX_VALUE_BYTES of the key-value store); the body limit
# leaves room for the JSON around the value.
DEFAULT_LIMITS = HttpLimits(connections=10_000, body_bytes=2 * MIB)
ENDPOINT_LIMITS = HttpLimits(connections=60)

reactor: Any = _reactor


def main() -> None:
    """Serves the stand-ins of the given kind until the process receives a stop signal."""
    parser = argparse.ArgumentParser(prog="stand_in")
    parser.add_argument("kind", choices=["platform", "workers", "endpoints"])
    parser.add_argument("--site", type=Path, required=True, help="path of the JSON site file")
    arguments = parser.parse_args()
    site = msgspec.json.decode(arguments.site.read_bytes(), type=SiteFile)
    {"platform": _serve_platform, "workers": _serve_workers, "endpoints": _serve_endpoints}[
        arguments.kind
    ](site)
    reactor.run()


def _serve_platform(site: SiteFile) -> None:
    hosts = [*site.worker_hosts(), *site.endpoint_hosts()]
    stand_in = PlatformStandIn(reactor, KeyValueStore(system_clock()), hosts)
    _listen(site.platform_port, platform_stand_in.routes, stand_in)


def _serve_workers(site: SiteFile) -> None:
    for host in site.worker_hosts():
        state = WorkerState(
            system_clock(),
            WorkerName(host.name),
            ZoneName(host.zone),
            RackName(host.rack),
            site.worker_capacity,
            WorkerBehaviour(),
        )
        _listen(_port_of(host), worker_stand_in.routes, WorkerStandIn(state))


def _serve_endpoints(site: SiteFile) -> None:
    for host in site.endpoint_hosts():
        assert host.kind is HostKind.ENDPOINT
        stand_in = EndpointStandIn(reactor, host.name, EndpointBehaviour())
        _listen(_port_of(host), endpoint_stand_in.routes, stand_in, ENDPOINT_LIMITS)


def _port_of(host: Host) -> int:
    return int(host.address.rsplit(":", 1)[1])


def _listen(port: int, routes: Any, interface: object, limits: HttpLimits = DEFAULT_LIMITS) -> None:
    reactor.listenTCP(
        port, make_http_site((routes, interface), limits=limits), interface="127.0.0.1"
    )


if __name__ == "__main__":
    main()
