"""Draws the load of a busy day, the jobs that callers submit, from a seed."""

from __future__ import annotations

import math

from random import Random
from typing import NamedTuple

import msgspec

from benchmarks.site_state import POOL
from benchmarks.site_state import WORKERS_PER_RACK
from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName

GANG_ACCELERATORS = (1, 2, 4, 8, 8)
ARRIVAL_PERIOD_MS = 34_000
MAX_TASK_WORK_MS = 11_000
TASK_WORK_VARIATION = 0.15
"""The work of a job's tasks differs from their common value by at most this share."""

SLOW_WORKER_FACTOR = 1.3
LATE_FACTOR = 3.0
"""A job is late up to this multiple of its objective; after that it earns no credit."""


class QueueShape(msgspec.Struct, frozen=True):
    """The load on one queue, as the data sheets of the sites describe it.

    ``tasks`` and ``work_ms`` are means, and ``work_spread`` is the sigma of the log-normal work.
    ``estimate_error`` is twice the sigma of the log-normal error of the callers' estimates. A job
    is worth ``full_value`` if it ends in time and ``late_value`` if it is late.
    """

    queue: Queue
    jobs_per_s: float
    full_value: float
    late_value: float
    tasks: float
    needs: Resources
    accelerators: tuple[int, ...]
    work_ms: float
    work_spread: float
    estimate_error: float
    gang_share: float = 0.0
    one_rack_share: float = 0.0
    checkpoint_share: float = 0.0
    second_step_share: float = 0.0
    cancelled_share: float = 0.0


class Burst(NamedTuple):
    """A period in which the arrival rate of one queue is ``factor`` times as high."""

    queue: QueueName
    start_ms: int
    duration_ms: int
    factor: float


class SiteShape(NamedTuple):
    """A site: its workers and the load on its queues."""

    workers: int
    capacity: Resources
    queues: tuple[QueueShape, ...]
    workers_per_rack: int = WORKERS_PER_RACK
    has_overnight_burst: bool = False
    slow_workers: bool = False
    """Whether every third worker takes ``SLOW_WORKER_FACTOR`` times as long."""


class DrawnJob(NamedTuple):
    """A submitted job with the work of each task, which only the workers know."""

    id: JobId
    shape: QueueShape
    request: JobRequest
    submitted_ms: int
    work_ms: tuple[tuple[float, ...], ...]
    """The run time of each task, by step and task, on a healthy worker with the best placement."""

    cancelled_ms: int | None

    @property
    def objective_ms(self) -> float:
        """The time from submission in which callers expect the job to end."""
        queue = self.shape.queue
        return queue.objective_factor * sum(max(step) for step in self.work_ms) + queue.objective_ms

    @property
    def core_ms(self) -> float:
        """The work of all its tasks in core-milliseconds; an accelerator counts as 8 cores."""
        return sum(
            sum(task_work_ms) * step.needs.millicore_equivalents / 1_000
            for step, task_work_ms in zip(self.request.steps, self.work_ms, strict=True)
        )


def _queue(
    name: str, priority: int, objective_factor: float, objective_ms: int, max_failures: int
) -> Queue:
    return Queue(
        QueueName(name),
        "site.example",
        f"/{name}/",
        POOL,
        priority=priority,
        max_failures=max_failures,
        objective_factor=objective_factor,
        objective_ms=objective_ms,
    )


def _normal(
    name: str,
    jobs_per_s: float,
    late_value: float,
    tasks: float,
    millicores: int,
    work_ms: float,
    memory_mb: int = 110_000,
) -> QueueShape:
    """Makes the load of a normal queue: large gangs whose run time callers estimate roughly."""
    return QueueShape(
        _queue(name, 1, 3.0, 1_000, 2),
        jobs_per_s,
        3.0,
        late_value,
        tasks,
        Resources(millicores, memory_mb),
        GANG_ACCELERATORS,
        work_ms,
        0.3,
        0.9,
        gang_share=1.0,
        one_rack_share=0.6,
        checkpoint_share=0.45,
        cancelled_share=0.05,
    )


def _urgent(name: str, jobs_per_s: float, tasks: float, millicores: int) -> QueueShape:
    """Makes the load of an urgent queue: short gangs with tight objectives."""
    return QueueShape(
        _queue(name, 0, 1.5, 250, 3),
        jobs_per_s,
        4.0,
        0.8,
        tasks,
        Resources(millicores, 31_000),
        GANG_ACCELERATORS,
        2_500,
        0.5,
        0.2,
        gang_share=1.0,
        one_rack_share=0.8,
    )


def _overnight(
    name: str, jobs_per_s: float, late_value: float, tasks: float, millicores: int
) -> QueueShape:
    """Makes the load of an overnight queue: many independent tasks of one accelerator each."""
    return QueueShape(
        _queue(name, 2, 3.0, 3_000, 4),
        jobs_per_s,
        1.0,
        late_value,
        tasks,
        Resources(millicores, 16_000),
        (1,),
        9_500,
        0.3,
        0.2,
        checkpoint_share=0.45,
        second_step_share=0.3,
        cancelled_share=0.15,
    )


SITES = {
    "ogechi": SiteShape(
        24,
        Resources(64_000, 262_144, 8),
        (
            _normal("mix-render", 0.314, 0.3, 5.0, 26_000, 8_500),
            _urgent("slot-hold", 1.19, 3.4, 7_500),
            _overnight("stem-split", 0.236, 0.1, 16.0, 5_600),
        ),
    ),
    "nangolo": SiteShape(
        24,
        Resources(128_000, 262_144, 8),
        (
            _normal("season-plan", 0.343, 0.9, 4.0, 52_000, 11_000),
            _urgent("sick-swap", 0.961, 3.0, 15_000),
            _overnight("tonight-check", 0.34, 0.3, 12.0, 11_000),
        ),
    ),
}

LARGE_SITES = {
    "large": SiteShape(
        270,
        Resources(64_000, 262_144, 8),
        (
            # 2.15, 8.6 and 1.35 jobs a second on 270 workers.
            _normal("mix-render", 0.191, 0.3, 13.0, 26_000, 6_800, memory_mb=140_000),
            _urgent("slot-hold", 0.764, 5.3, 7_500),
            _overnight("stem-split", 0.12, 0.1, 38.0, 5_600),
        ),
        workers_per_rack=12,
        has_overnight_burst=True,
        slow_workers=True,
    ),
}
"""Sites that take minutes for one day; no test plays them."""


def draw_bursts(site: SiteShape, random: Random) -> list[Burst]:
    """Draws one burst of each queue that has them, as on the busy days of the sites."""
    normal, urgent, overnight = site.queues
    bursts = [
        Burst(urgent.queue.name, random.randrange(1_000, 10_000), 6_000, 1.9),
        Burst(normal.queue.name, random.randrange(8_000, 20_000), 3_500, 2.6),
    ]
    if site.has_overnight_burst:
        bursts.append(Burst(overnight.queue.name, random.randrange(1_000, 12_000), 4_000, 2.6))
    return bursts


def draw_jobs(site: SiteShape, load: float, seed: int) -> list[DrawnJob]:
    """Draws the jobs of one day at ``load`` times the usual arrival rate, by submission time."""
    random = Random(f"site-load-{seed}")
    bursts = draw_bursts(site, random)
    jobs = []
    for shape in site.queues:
        peak_factor = max(burst.factor for burst in bursts)
        submitted_ms = 0.0
        scale = site.workers / 24
        while True:
            submitted_ms += (
                random.expovariate(shape.jobs_per_s * load * scale * peak_factor) * 1_000
            )
            if submitted_ms >= ARRIVAL_PERIOD_MS:
                break
            factor = max(
                (
                    burst.factor
                    for burst in bursts
                    if burst.queue == shape.queue.name
                    and burst.start_ms <= submitted_ms < burst.start_ms + burst.duration_ms
                ),
                default=1.0,
            )
            if random.random() < factor / peak_factor:
                jobs.append(_draw_job(site, shape, int(submitted_ms), random))
    return sorted(jobs, key=lambda job: job.submitted_ms)


def _draw_job(site: SiteShape, shape: QueueShape, submitted_ms: int, random: Random) -> DrawnJob:
    is_gang = random.random() < shape.gang_share
    needs = shape.needs + Resources(accelerators=random.choice(shape.accelerators))
    max_tasks = (
        site.workers_per_rack * needs.count_fitting(site.capacity) if is_gang else 6 * shape.tasks
    )
    tasks = max(1, min(int(max_tasks), round(_lognormal(random, shape.tasks, 0.8))))
    expected_ms = 0
    steps = []
    work_by_step_ms = []
    for number in range(2 if random.random() < shape.second_step_share else 1):
        work_ms = min(MAX_TASK_WORK_MS, _lognormal(random, shape.work_ms, shape.work_spread))
        relative_work = [
            random.uniform(1 - TASK_WORK_VARIATION, 1 + TASK_WORK_VARIATION) for _ in range(tasks)
        ]
        if is_gang:
            relative_work = [1.0] * tasks
        expected_ms = round(work_ms * math.exp(random.gauss(0, shape.estimate_error / 2)))
        work_by_step_ms.append(tuple(work_ms * each for each in relative_work))
        steps.append(
            StepRequest(
                tasks,
                needs,
                expected_ms,
                after=(number - 1,) if number else (),
                is_gang=is_gang,
                prefers_one_rack=is_gang and random.random() < shape.one_rack_share,
                saves_checkpoints=random.random() < shape.checkpoint_share,
            )
        )
    job = DrawnJob(
        JobId(f"{random.getrandbits(64):016x}"),
        shape,
        JobRequest("spec", tuple(steps)),
        submitted_ms,
        tuple(work_by_step_ms),
        None,
    )
    if random.random() < shape.cancelled_share:
        job = job._replace(
            cancelled_ms=submitted_ms + round(random.random() * job.objective_ms / 2)
        )
    return job


def _lognormal(random: Random, mean: float, sigma: float) -> float:
    return mean * math.exp(random.gauss(-sigma * sigma / 2, sigma))
