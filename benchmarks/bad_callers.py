"""Measures how slow clients affect a well-behaved one: ``python -m benchmarks.bad_callers``.

One run measures a client alone, and then the same client while other connections send a request
byte by byte and never complete it. There are more such connections than the daemon admits.
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
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.site_file import LOOPBACK
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

LIMITS = HttpLimits(connections=200, receive_timeout_ms=2_000)
SLOW_CONNECTIONS = 300
SLOW_SEND_INTERVAL_MS = 100
REQUESTS = 1_000
INCOMPLETE_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: test\r\nX-Slow: "


class ClientResult(msgspec.Struct, frozen=True):
    """Results of a well-behaved client that opens a new connection for each request."""

    completed: int
    refused: int
    failed: int
    median_ms: float
    p99_ms: float


def main() -> None:
    """Measures both cases and prints each as a label with a JSON object."""
    site_file = SiteFile(("zone-a",), 1, 1, 1, 1, Resources(8, 60, 250), find_free_port_block())
    with LocalSite(site_file, limits=LIMITS) as site:
        site.wait_until_ready()
        address = site.base_url("entry-0")
        _print_result("alone", _send_requests(address))
        stop_requested = threading.Event()
        all_have_sent = threading.Event()
        port = site_file.entry_host_ports(0)[0]
        slow_thread = threading.Thread(
            target=_run_slow_connections, args=(port, all_have_sent, stop_requested)
        )
        slow_thread.start()
        all_have_sent.wait()
        _print_result(f"with {SLOW_CONNECTIONS} slow connections", _send_requests(address))
        stop_requested.set()
        slow_thread.join()


def _send_requests(address: str) -> ClientResult:
    latencies_ms: list[float] = []
    refused = failed = 0
    limits = httpx.Limits(max_keepalive_connections=0)
    with httpx.Client(trust_env=False, verify=False, limits=limits) as client:
        for _ in range(REQUESTS):
            started = time.perf_counter()
            try:
                status = client.get(f"{address}/healthz").status_code
            except httpx.TransportError:
                failed += 1
                continue
            latencies_ms.append((time.perf_counter() - started) * MS_PER_SECOND)
            refused += status != 200
    completed = REQUESTS - refused - failed
    quantiles = statistics.quantiles(latencies_ms, n=100)
    return ClientResult(completed, refused, failed, quantiles[49], quantiles[98])


def _run_slow_connections(
    port: int, all_have_sent: threading.Event, stop_requested: threading.Event
) -> None:
    connections = [_open_slow_connection(port) for _ in range(SLOW_CONNECTIONS)]
    while not stop_requested.wait(SLOW_SEND_INTERVAL_MS / MS_PER_SECOND):
        for number, connection in enumerate(connections):
            if select.select([connection], [], [], 0)[0]:
                # The daemon refused or closed it. Reconnect without a back-off, as a client
                # that ignores refusals does.
                connection.close()
                connections[number] = _open_slow_connection(port)
            else:
                with suppress(OSError):
                    connections[number].send(b"a")
        all_have_sent.set()
    for connection in connections:
        connection.close()


def _open_slow_connection(port: int) -> socket.socket:
    connection = socket.create_connection((LOOPBACK, port))
    connection.send(INCOMPLETE_REQUEST)
    return connection


def _print_result(case: str, result: ClientResult) -> None:
    print(case, msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
