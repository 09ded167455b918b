"""Measures how jobs run on a site of processes on loopback.

Prints one JSON line for each size of a zone. It holds the time from the submission of an urgent
gang until all its parts run, and the CPU time of the zone's owner while gangs run. Messages are
counted by ``tests/services/test_zone_owner_load.py``.

    python -m benchmarks.job_runtime
"""

from __future__ import annotations

import json
import os
import statistics
import sys
import time

from functools import partial
from pathlib import Path
from typing import Any

import httpx

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

WORKER_COUNTS = (8, 103)
"""Workers in a zone: the present number, and an eighth of the 820 that the design must serve."""

URGENT_JOBS = 20
MEASUREMENT_S = 30.0
POLL_INTERVAL_S = 0.005
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ZONE = "zone-a"


def main() -> None:
    """Measures the sizes given as arguments, or all of ``WORKER_COUNTS``."""
    for workers in map(int, sys.argv[1:] or WORKER_COUNTS):
        with LocalSite(_site(workers)) as site:
            site.wait_until_ready()
            wait_until(partial(_knows_all_workers, site, workers), "every worker is known")
            print(json.dumps(_measure(site, workers)), flush=True)


def _knows_all_workers(site: LocalSite, workers: int) -> bool:
    return len(_known_workers(site)) == workers


def _site(workers: int) -> SiteFile:
    return SiteFile(
        zones=(ZONE,),
        entry_hosts=2,
        endpoints=1,
        workers=workers,
        workers_per_rack=8,
        worker_capacity=Resources(8, 60, 250),
        first_port=find_free_port_block(),
    )


def _measure(site: LocalSite, workers: int) -> dict[str, Any]:
    urgent_ms = [_time_urgent_job_ms(site) for _ in range(URGENT_JOBS)]
    jobs = [_submit(site, 2, "run:600000", urgent=False) for _ in range(2 * workers)]
    wait_until(lambda: all(_state(site, job) == "running" for job in jobs[-3:]), "the gangs run")
    owner = _owner(site)
    other_host = next(name for name in site.entry_hosts if name != owner)
    cpu_before_s = [_cpu_s(site.pid(name)) for name in (owner, other_host)]
    time.sleep(MEASUREMENT_S)
    cpu_after_s = [_cpu_s(site.pid(name)) for name in (owner, other_host)]
    return {
        "workers": workers,
        "urgent_ms_p50": round(statistics.median(urgent_ms)),
        "urgent_ms_max": round(max(urgent_ms)),
        "running_tasks": 2 * len(jobs),
        "owner_processor_share": round((cpu_after_s[0] - cpu_before_s[0]) / MEASUREMENT_S, 4),
        "other_processor_share": round((cpu_after_s[1] - cpu_before_s[1]) / MEASUREMENT_S, 4),
    }


def _time_urgent_job_ms(site: LocalSite) -> float:
    started_s = time.monotonic()
    job = _submit(site, 4, "run:300", urgent=True)
    while not _all_started(site, job):
        time.sleep(POLL_INTERVAL_S)
    elapsed_ms = 1_000 * (time.monotonic() - started_s)
    wait_until(lambda: _state(site, job) == "succeeded", "the urgent job ends")
    return elapsed_ms


def _all_started(site: LocalSite, job: str) -> bool:
    response = httpx.get(f"{site.base_url('entry-0')}/v1/jobs/{job}").json()
    addresses = {host.name: host.address for host in site.site.worker_hosts()}
    placed = {part["worker"] for part in response["placement"]}
    started = sum(
        task["key"]["job"] == job and task["state"] in ("running", "succeeded")
        for name in placed
        for task in httpx.get(f"{addresses[name]}/v1/inventory").json()["tasks"]
    )
    return bool(started == 4)


def _submit(site: LocalSite, parts: int, command: str, *, urgent: bool) -> str:
    job_spec = {
        "team": "studio",
        "kind": "render",
        "parts": parts,
        "accelerators_per_part": 2,
        "command": command,
        "urgent": urgent,
    }
    response = httpx.post(f"{site.base_url('entry-0')}/v1/jobs", json={"spec": job_spec})
    return str(response.json()["id"])


def _state(site: LocalSite, job: str) -> str:
    return str(httpx.get(f"{site.base_url('entry-0')}/v1/jobs/{job}").json()["state"])


def _read_platform_key(site: LocalSite, key: str) -> Any:
    response = httpx.get(f"{site.site.platform_address}/v1/kv/{key}")
    return response.json()["value"] if response.is_success else None


def _known_workers(site: LocalSite) -> list[Any]:
    value = _read_platform_key(site, f"state/zones/{ZONE}")
    return value["workers"] if value else []


def _owner(site: LocalSite) -> str:
    return str(_read_platform_key(site, "state/ownership")["owners"][f"zone/{ZONE}"])


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


if __name__ == "__main__":
    main()
