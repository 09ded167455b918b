"""Urgent tasks that must stay on separate minions arrive at a site full of large jobs.

See claim.txt. With TROUBLE=0 the large jobs don't come.
"""

from __future__ import annotations

import os
import sys
import time

from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from small_site import Record  # noqa: E402
from small_site import Site  # noqa: E402
from small_site import run_case  # noqa: E402
from small_site import wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MINIONS = 6
LARGE_JOBS = 2
LARGE = {
    "spec": "mix 11000",
    "steps": [
        {"count": 5, "cpu": 26000, "memMb": 110000, "gpu": 8, "estRuntimeMs": 11000},
    ],
}
URGENT_JOB = "00000000000000a1"
TASKS = 3
MAX_PER_SERVER = 1
URGENT = {
    "spec": "hold 8000",
    "steps": [
        {
            "count": TASKS,
            "cpu": 7500,
            "memMb": 31000,
            "gpu": 1,
            "estRuntimeMs": 8000,
            "maxPerServer": MAX_PER_SERVER,
        },
    ],
}


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
    for number in range(LARGE_JOBS if TROUBLE else 0):
        status, _ = site.request(number, "POST", f"/desk/{number:016x}", LARGE)
        record.note(f"POST of a large job: {status}")
    if TROUBLE:
        wait_until(lambda: len(started(site, "00000000")) >= MINIONS, "the large jobs")
        minions = sorted(str(each["minion"]) for each in started(site, "00000000"))
        record.note(f"large tasks run on {minions}")
    time.sleep(1.0)
    status, _ = site.request(1, "POST", f"/urgent/{URGENT_JOB}", URGENT)
    record.note(f"POST of the urgent job, maxPerServer {MAX_PER_SERVER}: {status}")
    wait_until(lambda: len(started(site, URGENT_JOB)) >= TASKS, "the urgent tasks", 15.0)
    time.sleep(3.0)
    broken = False
    running: dict[str, set[str]] = {}
    for each in site.events():
        task, minion = str(each.get("task", "")), str(each["minion"])
        if not task.startswith(URGENT_JOB):
            continue
        on_minion = running.setdefault(minion, set())
        if each["event"] == "start":
            on_minion.add(task)
            record.note(f"start of {task} on {minion}, which has {sorted(on_minion)}")
            broken = broken or len(on_minion) > MAX_PER_SERVER
        else:
            on_minion.discard(task)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, 64, run))
