"""A tenant asks for its guaranteed accelerators while lasting tasks of another use them all.

The first part of the case, see claim.txt. With TROUBLE=0 the lasting jobs do not come.
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
MINIONS = 6
LASTING_JOBS = 2
LASTING = {
    "spec": "serve",
    "steps": [{"count": 3, "cpu": 26000, "memMb": 110000, "gpu": 8, "longRunning": True}],
}
URGENT_JOB = "00000000000000a1"
TASKS = 2
URGENT = {
    "spec": "hold 2500",
    "steps": [{"count": TASKS, "cpu": 7500, "memMb": 31000, "gpu": 4, "estRuntimeMs": 2500}],
}
"""8 GPUs in all, which is what its tenant is guaranteed."""


def started(site: Site, job: str) -> list[dict[str, object]]:
    return [
        each
        for each in site.events()
        if each["event"] == "start" and str(each["task"]).startswith(job)
    ]


def run(site: Site, record: Record) -> bool:
    site.start_store()
    for number in range(MINIONS):
        site.start_minion(f"m-{number}")
    for number in range(3):
        site.start_front(number)
    wait_until(lambda: all(site.is_ready(number) for number in range(3)), "the entry hosts")
    time.sleep(4.0)
    for number in range(LASTING_JOBS if TROUBLE else 0):
        status, _ = site.request(number, "POST", f"/desk/{number:016x}", LASTING, key="k2")
        record.note(f"POST of a lasting job of another tenant, priority 1: {status}")
    if TROUBLE:
        wait_until(lambda: len(started(site, "00000000")) >= MINIONS, "the lasting jobs")
        minions = sorted(str(each["minion"]) for each in started(site, "00000000"))
        record.note(f"lasting tasks run on {minions}")
    time.sleep(6.0)
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
