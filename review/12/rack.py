"""A tenant asks for its guaranteed accelerators while the rack of its data is in use.

The second part of the case, see claim.txt. With TROUBLE=0 the large jobs of lower priority don't come.
"""

from __future__ import annotations

import os
import sys
import time

from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from small_site import CannotRunError  # noqa: E402
from small_site import Record  # noqa: E402
from small_site import Site  # noqa: E402
from small_site import run_case  # noqa: E402, F401
from small_site import wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECLAIM_MS = 2_900
RACK_OF_DATA, OTHER_RACK = "r0", "r1"
MINIONS = {"m-0": RACK_OF_DATA, "m-1": OTHER_RACK, "m-2": OTHER_RACK, "m-3": OTHER_RACK}
OTHERS_JOB = "00000000000000e1"
OTHERS = {
    "spec": "hold 60000",
    "steps": [
        {
            "count": 1,
            "cpu": 7500,
            "memMb": 31000,
            "gpu": 8,
            "estRuntimeMs": 60000,
            "affinity": RACK_OF_DATA,
        }
    ],
}
"""Priority 0, 8 GPUs: what the other tenant is guaranteed."""

LARGE_JOB = "00000000000000f1"
LARGE = {
    "spec": "mix 60000",
    "steps": [{"count": 3, "cpu": 26000, "memMb": 110000, "gpu": 8, "estRuntimeMs": 60000}],
}
URGENT_JOB = "00000000000000a1"
TASKS = 1
URGENT = {
    "spec": "hold 2500",
    "steps": [
        {
            "count": TASKS,
            "cpu": 7500,
            "memMb": 31000,
            "gpu": 8,
            "estRuntimeMs": 2500,
            "affinity": RACK_OF_DATA,
        }
    ],
}
"""Priority 0, 8 GPUs: what its tenant is guaranteed."""


def started(site: Site, job: str) -> list[dict[str, object]]:
    return [
        each
        for each in site.events()
        if each["event"] == "start" and str(each["task"]).startswith(job)
    ]


def run(site: Site, record: Record) -> bool:
    site.start_store()
    for name, rack in MINIONS.items():
        site.start_minion(name, rack)
    for number in range(3):
        site.start_front(number)
    wait_until(lambda: all(site.is_ready(number) for number in range(3)), "the entry hosts")
    time.sleep(4.0)
    status, _ = site.request(0, "POST", f"/urgent/{OTHERS_JOB}", OTHERS, key="k2")
    record.note(f"POST of another tenant's job, priority 0, 8 GPUs, guaranteed 8: {status}")
    wait_until(lambda: started(site, OTHERS_JOB), "the other tenant's job")
    if TROUBLE:
        status, _ = site.request(1, "POST", f"/desk/{LARGE_JOB}", LARGE, key="k2")
        record.note(f"POST of a large job, priority 1: {status}")
        wait_until(lambda: len(started(site, LARGE_JOB)) == 3, "the large job")
    for each in site.events():
        if each["event"] == "start":
            record.note(
                f"{each['task']} runs on {each['minion']} in rack {MINIONS[each['minion']]}"
            )
    time.sleep(1.0)
    status, _ = site.request(2, "POST", f"/urgent/{URGENT_JOB}", URGENT)
    acknowledged = time.time()
    record.note(f"POST of the urgent job, priority 0, 8 GPUs, guaranteed 8: {status}")
    if status != 200:
        raise CannotRunError("the urgent job was not accepted")
    time.sleep(20.0)
    begun = {
        str(each["task"]): float(str(each["at"])) / 1000 - acknowledged
        for each in started(site, URGENT_JOB)
    }
    record.note(f"tasks of the urgent job that have begun, with the seconds after its 200: {begun}")
    _, shown = site.request(1, "GET", f"/urgent/{URGENT_JOB}")
    record.note(f"GET of the urgent job 20 s after its 200: {shown}")
    return len(begun) < TASKS or max(begun.values()) > RECLAIM_MS / 1000
