"""Minions refuse starts for some seconds; the jobs that wait are left out of the count."""

from __future__ import annotations

import asyncio
import sys

from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand_ins import CannotRun
from stand_ins import Minion
from stand_ins import Site
from stand_ins import configuration
from stand_ins import run_case
from stand_ins import submit

MINIONS = 24
UNHEALTHY = 2
UNHEALTHY_S = 6.5
VISIBLE_MS = 3_000
LONG = "5c0e7a21d94b36f5"
WAITING = [f"5c0e7a21d94b365{number}" for number in range(4)]


async def play(recorder, trouble: bool) -> list[str]:
    site = Site(recorder)
    for number in range(MINIONS):
        Minion(
            site,
            f"m{number}-7f3a",
            {"cpu": 64_000, "memMb": 262_144, "gpu": 8},
            ["a", f"r1-{number // 8}"],
            "lagos-mainland",
        )
    site.work_ms = lambda task: 60_000 if task.startswith(LONG) else 1_500
    large = {"count": MINIONS - UNHEALTHY, "cpu": 60_000, "memMb": 200_000, "gpu": 8}
    large["estRuntimeMs"] = 60_000
    small = {"count": 1, "cpu": 7_500, "memMb": 31_000, "gpu": 1, "estRuntimeMs": 1_500}
    findings = []
    try:
        await site.open(configuration())
        await asyncio.sleep(5)
        if await submit(site.hosts[0], LONG, {"spec": "long", "steps": [large]}) is None:
            raise CannotRun("the long job was not accepted")
        await asyncio.sleep(3)
        idle = [each for each in site.minions.values() if not each.runs]
        if len(idle) != UNHEALTHY:
            raise CannotRun("the long job does not run as planned")
        for minion in idle:
            minion.refuses_starts = trouble
        recorder.write("unhealthy", minions=[each.name for each in idle], for_s=UNHEALTHY_S)
        ends_ms = recorder.now_ms() + round(UNHEALTHY_S * 1_000)
        accepted = {}
        for number, job in enumerate(WAITING):
            host = site.hosts[number % len(site.hosts)]
            at_ms = await submit(host, job, {"spec": "hold", "steps": [small]})
            if at_ms is None:
                raise CannotRun("a job was not accepted")
            accepted[job] = at_ms
        while recorder.now_ms() < ends_ms - 50:
            for host in site.hosts:
                asked_ms = recorder.now_ms()
                answer = await host.call("GET", "/hold/")
                begun = {each.task.partition(".")[0] for each in site.starts}
                due = [
                    job
                    for job, at_ms in accepted.items()
                    if job not in begun and at_ms < asked_ms - VISIBLE_MS - 2_000
                ]
                if answer is not None and answer[0] == 200 and due:
                    pending = answer[1]["pending"]
                    if pending < len(due) / 2:
                        findings.append(
                            f"at {asked_ms} ms {host.name} gives {pending} pending jobs; "
                            f"{len(due)} have waited for over {VISIBLE_MS + 2_000} ms"
                        )
            await asyncio.sleep(0.2)
        for minion in idle:
            minion.refuses_starts = False
        await asyncio.sleep(4)
    finally:
        await site.close()
    return findings


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
