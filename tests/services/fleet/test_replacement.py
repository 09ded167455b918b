"""Urgent jobs start as soon while the workers are replaced one group after another as otherwise."""

from __future__ import annotations

import msgspec

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

WORKERS = 24
GROUP = 3
GAP_MS = 1_300
NOTICE_MS = 4_000
MAX_LATE_START_MS = 2_000
"""A worker that is leaving may still get work for this long after it has announced it."""

MAX_EXTRA_WAIT_MS = 100
"""Within this, a start counts as just as soon: a few times the delay of a round and a write."""

STEP_MS = 50
JOB_INTERVAL_MS = 300
BUSY_S = 14
OVERNIGHT_JOBS = 8


class Replacement:
    """Replaces workers: new ones are added, then as many old ones announce that they leave."""

    def __init__(self, site: VirtualFleet) -> None:
        self._site = site
        self._remaining = list(site.workers)
        self.left_ms: dict[WorkerName, int] = {}

    def replace_next(self) -> None:
        """Replaces the next group; its workers are gone ``NOTICE_MS`` later."""
        group, self._remaining = self._remaining[:GROUP], self._remaining[GROUP:]
        for name in group:
            old = self._site.workers[name]
            fresh = msgspec.structs.replace(
                old.listed, name=WorkerName(f"{name}-new"), address=f"{name}-new:80"
            )
            self._site.add_worker(fresh)
            old.listed = msgspec.structs.replace(
                old.listed, is_draining=True, leaves_in_ms=NOTICE_MS
            )
            self.left_ms[name] = round(self._site.time.seconds() * 1_000)
            self._site.time.callLater(NOTICE_MS / 1_000, self._site.remove_worker, name)


def play(with_replacement: bool) -> tuple[VirtualFleet, list[int]]:
    """Plays a burst of urgent gangs beside overnight work; returns the waits in ascending order."""
    site = VirtualFleet(CONFIGURATION, SmallSite(workers=WORKERS, rack_size=8).listed)
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.5)
    replacement = Replacement(site)
    for number in range(OVERNIGHT_JOBS):
        request = JobRequest("spec", (step(tasks=10, expected_ms=6_000, saves_checkpoints=True),))
        site.submit(JobId(f"a{number:015}"), request, queue="overnight")
    submitted_ms: dict[JobId, int] = {}
    waits_ms: dict[JobId, int] = {}
    for elapsed_ms in range(0, BUSY_S * 1_000, STEP_MS):
        if with_replacement and elapsed_ms % GAP_MS < STEP_MS and elapsed_ms < 8 * GAP_MS:
            replacement.replace_next()
        if elapsed_ms % JOB_INTERVAL_MS == 0:
            job = JobId(f"b{elapsed_ms:015}")
            gang = step(tasks=4, expected_ms=1_500, is_gang=True, prefers_one_rack=True)
            submitted_ms[job] = round(site.time.seconds() * 1_000)
            site.submit(job, JobRequest("spec", (gang,)), queue="urgent")
        site.run(STEP_MS / 1_000)
        now_ms = round(site.time.seconds() * 1_000)
        for task in site.run_recorder.start_counts:
            if task.job in submitted_ms:
                waits_ms.setdefault(task.job, now_ms - submitted_ms[task.job])
        for name, left_ms in replacement.left_ms.items():
            worker = site.workers.get(name)
            if worker is not None:
                assert worker.last_started_ms <= left_ms + MAX_LATE_START_MS
    site.run(8.0)
    for job in submitted_ms:
        assert site.job_state(job, queue="urgent").state is JobState.SUCCEEDED
    assert site.run_recorder.violations == []
    return site, sorted(waits_ms.values())


def test_urgent_jobs_wait_no_longer_during_a_replacement() -> None:
    _, usual_ms = play(with_replacement=False)
    site, waits_ms = play(with_replacement=True)
    assert len(waits_ms) == len(usual_ms)
    for share in (0.5, 0.9):
        index = int(share * len(waits_ms))
        assert waits_ms[index] <= usual_ms[index] + MAX_EXTRA_WAIT_MS
    for number in range(OVERNIGHT_JOBS):
        state = site.job_state(JobId(f"a{number:015}"), queue="overnight").state
        assert state is JobState.SUCCEEDED
