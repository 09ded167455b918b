"""Resident memory and processor time of idle daemons, as real processes on loopback.

Run as ``python -m benchmarks.control_daemon``; the sites are started one after another.
"""

from __future__ import annotations

import os
import re
import statistics
import time

from pathlib import Path

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import free_first_port
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

SIZES = (2, 4, 8)
WARM_UP_S = 3
MEASURED_S = 10


def main() -> None:
    """Prints the medians over the daemons of each site."""
    print("entry hosts  resident MB  anonymous MB  % of a core")
    for size in SIZES:
        zones = ("zone-a", "zone-b")
        site = SiteFile(zones, size, 3, 4, 2, Resources(8, 60, 250), free_first_port())
        with LocalSite(site) as running:
            running.wait_until_ready()
            time.sleep(WARM_UP_S)
            pids = [running.pid(name) for name in running.entry_hosts]
            before = [_cpu_s(pid) for pid in pids]
            time.sleep(MEASURED_S)
            spent = [_cpu_s(pid) - begun for pid, begun in zip(pids, before, strict=True)]
            share = 100 * statistics.median(spent) / MEASURED_S
            resident = statistics.median(_status_mb(pid, "VmRSS") for pid in pids)
            anonymous = statistics.median(_status_mb(pid, "RssAnon") for pid in pids)
        print(f"{size:11} {resident:12.1f} {anonymous:13.1f} {share:12.2f}")


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _status_mb(pid: int, name: str) -> float:
    found = re.search(rf"{name}:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) / 1024


if __name__ == "__main__":
    main()
