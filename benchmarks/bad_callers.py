"""What callers that drip bytes cost a good caller: ``python -m benchmarks.bad_callers``.

One run compares a good caller alone with the same caller beside connections that send a request
byte by byte for ever, more of them than the daemon admits.
"""

from __future__ import annotations

import select
import socket
import statistics
import threading
import time

from contextlib import suppress

import httpx
import msgspec

from jujubehall.clock import MS_PER_SECOND
from jujubehall.http.limits import HttpLimits
from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import free_first_port
from jujubehall.testing.site_file import LOOPBACK
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

LIMITS = HttpLimits(connections=200, receive_timeout_ms=2_000)
DRIPPERS = 300
DRIP_INTERVAL_MS = 100
CALLS = 1_000
HEAD = b"GET /healthz HTTP/1.1\r\nHost: test\r\nX-Slow: "


class Measured(msgspec.Struct, frozen=True):
    """Calls of a good caller on connections of their own."""

    completed: int
    refused: int
    failed: int
    median_ms: float
    p99_ms: float


def main() -> None:
    """Measures and prints both cases as JSON lines."""
    site_file = SiteFile(("zone-a",), 1, 1, 1, 1, Resources(8, 60, 250), free_first_port())
    with LocalSite(site_file, limits=LIMITS) as site:
        site.wait_until_ready()
        address = site.address("entry-0")
        _show("alone", _call(address))
        stop = threading.Event()
        dripping = threading.Event()
        port = site_file.entry_host_ports(0)[0]
        dripper = threading.Thread(target=_drip, args=(port, dripping, stop))
        dripper.start()
        dripping.wait()
        _show(f"beside {DRIPPERS} dripping connections", _call(address))
        stop.set()
        dripper.join()


def _call(address: str) -> Measured:
    took_ms: list[float] = []
    refused = failed = 0
    limits = httpx.Limits(max_keepalive_connections=0)
    with httpx.Client(trust_env=False, verify=False, limits=limits) as client:
        for _ in range(CALLS):
            started = time.perf_counter()
            try:
                status = client.get(f"{address}/healthz").status_code
            except httpx.TransportError:
                failed += 1
                continue
            took_ms.append((time.perf_counter() - started) * MS_PER_SECOND)
            refused += status != 200
    completed = CALLS - refused - failed
    quantiles = statistics.quantiles(took_ms, n=100)
    return Measured(completed, refused, failed, quantiles[49], quantiles[98])


def _drip(port: int, dripping: threading.Event, stop: threading.Event) -> None:
    connections = [_connect(port) for _ in range(DRIPPERS)]
    while not stop.wait(DRIP_INTERVAL_MS / MS_PER_SECOND):
        for number, connection in enumerate(connections):
            if select.select([connection], [], [], 0)[0]:
                # Refused or dropped: it comes back at once, as a stubborn caller does.
                connection.close()
                connections[number] = _connect(port)
            else:
                with suppress(OSError):
                    connections[number].send(b"a")
        dripping.set()
    for connection in connections:
        connection.close()


def _connect(port: int) -> socket.socket:
    connection = socket.create_connection((LOOPBACK, port))
    connection.send(HEAD)
    return connection


def _show(case: str, measured: Measured) -> None:
    print(case, msgspec.json.encode(measured).decode())


if __name__ == "__main__":
    main()
