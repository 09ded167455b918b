"""Measures the latency and CPU time that an entry host adds to a request, on loopback.

    PYTHONPATH=src python -m benchmarks.requests_processes

Compares requests sent through entry hosts with the same work sent directly to the endpoints, in
alternating rounds of one run. Only ratios and differences are comparable between runs.
"""

from __future__ import annotations

import statistics
import time

from itertools import count
from pathlib import Path

import httpx

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

ROUNDS = 6
REQUESTS_PER_ROUND = 150
ENTRY_HOSTS = 3
ENDPOINTS = 3
METHODS = ("direct", "idempotent", "ticket", "durable claim")

_numbers = count()


def make_site() -> SiteFile:
    """Makes a small site on free ports."""
    return SiteFile(
        zones=("zone-a", "zone-b"),
        entry_hosts=ENTRY_HOSTS,
        endpoints=ENDPOINTS,
        workers=1,
        workers_per_rack=1,
        worker_capacity=Resources(8, 60, 250),
        first_port=find_free_port_block(),
    )


def cpu_ms(site: LocalSite) -> float:
    """Returns the CPU time of all entry hosts so far, in ms at a resolution of 10 ms (one tick)."""
    ticks = 0
    for name in site.entry_hosts:
        fields = Path(f"/proc/{site.pid(name)}/stat").read_text().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks * 10.0


def send(client: httpx.Client, site: LocalSite, method: str) -> bool:
    """Sends one request and returns whether it completed."""
    number = next(_numbers)
    if method == "direct":
        endpoint = site.site.endpoint_hosts()[number % ENDPOINTS].address
        work = {"id": f"d-{number}", "kind": "k", "payload": None, "deadline_ms": 5_000}
        return client.post(f"{endpoint}/v1/work", json=work).is_success
    entry_host = site.base_url(f"entry-{number % ENTRY_HOSTS}")
    identifier = f"{method}-{number}"
    if method == "ticket":
        identifier = client.post(f"{entry_host}/v1/tickets").json()[0]
    body = {"id": identifier, "team": "t", "kind": "k", "idempotent": method == "idempotent"}
    return client.post(f"{entry_host}/v1/requests", json=body).is_success


def main() -> None:
    """Runs the rounds and prints one row for each method."""
    latencies_ms: dict[str, list[float]] = {method: [] for method in METHODS}
    cpu_used_ms: dict[str, float] = dict.fromkeys(METHODS, 0.0)
    with LocalSite(make_site()) as site, httpx.Client() as client:
        site.wait_until_ready()
        for method in METHODS:
            wait_until(
                lambda: all(send(client, site, method) for _ in range(9)),  # noqa: B023
                method,
            )
        for _ in range(ROUNDS):
            for method in METHODS:
                cpu_before_ms = cpu_ms(site)
                for _ in range(REQUESTS_PER_ROUND):
                    started_s = time.perf_counter()
                    assert send(client, site, method), method
                    latencies_ms[method].append((time.perf_counter() - started_s) * 1_000)
                cpu_used_ms[method] += cpu_ms(site) - cpu_before_ms
    direct_ms = statistics.median(latencies_ms["direct"])
    print("| way | p50 / direct p50 | p50 added ms | p99 / direct p99 | CPU ms per request |")
    print("|---|---|---|---|---|")
    direct_p99_ms = sorted(latencies_ms["direct"])[-len(latencies_ms["direct"]) // 100]
    for method, values in latencies_ms.items():
        p50_ms = statistics.median(values)
        p99_ms = sorted(values)[-len(values) // 100]
        cpu_per_request_ms = cpu_used_ms[method] / len(values)
        ratio = p99_ms / direct_p99_ms
        print(
            f"| {method} | {p50_ms / direct_ms:.2f} | {p50_ms - direct_ms:.1f} | {ratio:.2f} "
            f"| {cpu_per_request_ms:.2f} |"
        )


if __name__ == "__main__":
    main()
