"""Measures the resident memory and CPU time of idle daemons, run as processes on loopback.

Run it with ``python -m benchmarks.control_daemon``. The sites run one after another.
"""

from __future__ import annotations

import os
import re
import statistics
import time

from pathlib import Path

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

ENTRY_HOST_COUNTS = (2, 4, 8)
WARM_UP_S = 3
MEASUREMENT_S = 10


def main() -> None:
    """Prints the medians over the daemons of each site, one line for each site size."""
    print("entry hosts  resident MB  anonymous MB  % of a core")
    for size in ENTRY_HOST_COUNTS:
        zones = ("zone-a", "zone-b")
        site = SiteFile(zones, size, 3, 4, 2, Resources(8, 60, 250), find_free_port_block())
        with LocalSite(site) as running:
            running.wait_until_ready()
            time.sleep(WARM_UP_S)
            pids = [running.pid(name) for name in running.entry_hosts]
            cpu_before_s = [_cpu_s(pid) for pid in pids]
            time.sleep(MEASUREMENT_S)
            cpu_used_s = [
                _cpu_s(pid) - start_s for pid, start_s in zip(pids, cpu_before_s, strict=True)
            ]
            cpu_percent = 100 * statistics.median(cpu_used_s) / MEASUREMENT_S
            resident_mb = statistics.median(_status_mb(pid, "VmRSS") for pid in pids)
            anonymous_mb = statistics.median(_status_mb(pid, "RssAnon") for pid in pids)
        print(f"{size:11} {resident_mb:12.1f} {anonymous_mb:13.1f} {cpu_percent:12.2f}")


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _status_mb(pid: int, name: str) -> float:
    match = re.search(rf"{name}:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    assert match is not None
    return int(match[1]) / 1024


if __name__ == "__main__":
    main()
