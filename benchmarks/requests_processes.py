"""Latency and CPU that an entry host adds to a request, in real processes on loopback.

    PYTHONPATH=src python -m benchmarks.requests_processes

Compares requests sent through entry hosts with the same work sent to the endpoints directly, in
alternating rounds of one run; only the ratios and differences count.
"""

from __future__ import annotations

import statistics
import time

from itertools import count
from pathlib import Path

import httpx

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import free_first_port
from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

ROUNDS = 6
REQUESTS_PER_ROUND = 150
ENTRY_HOSTS = 3
ENDPOINTS = 3
WAYS = ("direct", "idempotent", "ticket", "durable claim")

_numbers = count()


def make_site() -> SiteFile:
    """A small site on free ports."""
    return SiteFile(
        zones=("zone-a", "zone-b"),
        entry_hosts=ENTRY_HOSTS,
        endpoints=ENDPOINTS,
        workers=1,
        workers_per_rack=1,
        worker_capacity=Resources(8, 60, 250),
        first_port=free_first_port(),
    )


def cpu_ms(site: LocalSite) -> float:
    """The CPU time of all entry hosts so far, in milliseconds (ticks of 10 ms)."""
    ticks = 0
    for name in site.entry_hosts:
        fields = Path(f"/proc/{site.pid(name)}/stat").read_text().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks * 10.0


def send(client: httpx.Client, site: LocalSite, way: str) -> bool:
    """Sends one request and returns whether it completed."""
    number = next(_numbers)
    if way == "direct":
        endpoint = site.site.endpoint_hosts()[number % ENDPOINTS].address
        work = {"id": f"d-{number}", "kind": "k", "payload": None, "deadline_ms": 5_000}
        return client.post(f"{endpoint}/v1/work", json=work).is_success
    entry_host = site.address(f"entry-{number % ENTRY_HOSTS}")
    identifier = f"{way}-{number}"
    if way == "ticket":
        identifier = client.post(f"{entry_host}/v1/tickets").json()[0]
    body = {"id": identifier, "team": "t", "kind": "k", "idempotent": way == "idempotent"}
    return client.post(f"{entry_host}/v1/requests", json=body).is_success


def main() -> None:
    """Runs the rounds and prints one row for each way."""
    took_ms: dict[str, list[float]] = {way: [] for way in WAYS}
    used_ms: dict[str, float] = dict.fromkeys(WAYS, 0.0)
    with LocalSite(make_site()) as site, httpx.Client() as client:
        site.wait_until_ready()
        for way in WAYS:
            wait_until(lambda: all(send(client, site, way) for _ in range(9)), way)  # noqa: B023
        for _ in range(ROUNDS):
            for way in WAYS:
                before_ms = cpu_ms(site)
                for _ in range(REQUESTS_PER_ROUND):
                    began = time.perf_counter()
                    assert send(client, site, way), way
                    took_ms[way].append((time.perf_counter() - began) * 1_000)
                used_ms[way] += cpu_ms(site) - before_ms
    direct_ms = statistics.median(took_ms["direct"])
    print("| way | p50 / direct p50 | p50 added ms | p99 / direct p99 | CPU ms per request |")
    print("|---|---|---|---|---|")
    direct_p99_ms = sorted(took_ms["direct"])[-len(took_ms["direct"]) // 100]
    for way, values in took_ms.items():
        p50_ms = statistics.median(values)
        p99_ms = sorted(values)[-len(values) // 100]
        cpu = used_ms[way] / len(values)
        ratio = p99_ms / direct_p99_ms
        print(
            f"| {way} | {p50_ms / direct_ms:.2f} | {p50_ms - direct_ms:.1f} | {ratio:.2f} "
            f"| {cpu:.2f} |"
        )


if __name__ == "__main__":
    main()
