"""A job that is cancelled after its submission got 504, and runs all the same."""

from __future__ import annotations

import asyncio
import sys

from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from harness import CannotRun
from harness import Site
from harness import default_configuration
from harness import main
from harness import new_job_id

LATE_S = 6.0
"""``platform_lost`` with ``late`` carries writes out 1 to 6 s later."""

MAX_LOST_SHARE = 0.35
MAX_LOSS_S = 4.5
"""The largest doses of ``platform_lost`` on the sites."""

CANCEL_MS = 3_000
CONTACT_MS = 3_000
FIRST_WORK_S = 7.0
"""The second step begins later than ``contactMs`` after the last late write."""

OTHER_JOBS = 24
OTHER_STEP = {"count": 1, "cpu": 2_000, "memMb": 1_000, "gpu": 1, "estRuntimeMs": 500}
STEPS = [
    {"count": 1, "cpu": 2_000, "memMb": 1_000, "gpu": 1, "estRuntimeMs": 7_000},
    {"count": 1, "cpu": 2_000, "memMb": 1_000, "gpu": 1, "estRuntimeMs": 7_000, "after": [0]},
]


async def case(site: Site, trouble: bool) -> list[str]:
    capacity = {"cpu": 64_000, "memMb": 262_144, "gpu": 8}
    await site.start(2, 6, default_configuration(), capacity, ["a"])
    job = new_job_id()
    lost_s: list[float] = []
    done_s: list[float] = []
    is_losing = trouble

    def lose_write(body: dict[str, Any]) -> float | None:
        if is_losing and any(row["key"].endswith(job) for row in body["writes"]):
            lost_s.append(site.now_s)
            done_s.append(site.now_s + LATE_S)
            return LATE_S
        return None

    site.store.lose_write = lose_write
    writes_before = site.store.write_calls
    others = asyncio.create_task(submit_others(site))
    answer = await site.submit(site.fronts[0], job, STEPS, FIRST_WORK_S)
    is_losing = False
    await others
    writes = site.store.write_calls - writes_before
    cancelled = await site.call(site.fronts[1], "DELETE", f"/hold/{job}")
    cancelled_s = site.now_s
    if cancelled is None or not (cancelled[0] // 100 == 2 or cancelled[0] == 410):
        raise CannotRun(f"the cancel was not acknowledged: {cancelled}")
    site.note("cancel acknowledged", job=job, status=cancelled[0], submission=answer and answer[0])
    if trouble:
        site.note("lost writes", lost=len(lost_s), of=writes, for_s=lost_s[-1] - lost_s[0])
        if len(lost_s) > MAX_LOST_SHARE * writes or lost_s[-1] - lost_s[0] > MAX_LOSS_S:
            raise CannotRun("the disruption was not within its limits")
    await asyncio.sleep(LATE_S + FIRST_WORK_S + 4.0)
    await site.state(site.fronts[0], job)
    calm_s = max([*lost_s, *done_s], default=0.0) + CONTACT_MS / 1000
    bound_s = max(cancelled_s + CANCEL_MS / 1000, calm_s)
    return [
        f"UNASKED: the cancel was acknowledged with {cancelled[0]} at {cancelled_s:.3f} s, the store "
        f"has been undisturbed for {CONTACT_MS} ms since {calm_s:.3f} s: {line.strip()}"
        for line in site.lines
        if "run starts" in line and f"task={job}." in line and float(line.split()[0]) > bound_s
    ]


async def submit_others(site: Site) -> None:
    """Hands in the jobs of other clients, whose writes the store answers."""
    for number in range(OTHER_JOBS):
        front = site.fronts[number % 2]
        answer = await site.submit(front, new_job_id(), [OTHER_STEP], 0.5)
        if answer is None or answer[0] != 200:
            raise CannotRun(f"another job was not accepted: {answer}")
        await asyncio.sleep(0.08)


main(case, Path(__file__).resolve().parent)
