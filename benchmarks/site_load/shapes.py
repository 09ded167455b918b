"""The load of heavy days: what callers submit, drawn anew for each seed."""

from __future__ import annotations

import math

from random import Random
from typing import NamedTuple

import msgspec

from benchmarks.site_book import POOL
from benchmarks.site_book import RACK_SIZE
from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName

GANG_ACCELERATORS = (1, 2, 4, 8, 8)
TRAFFIC_MS = 34_000
MOST_WORK_MS = 11_000
UNEVENNESS = 0.15
"""Tasks of one job differ by this share."""

LATE_FACTOR = 3.0
"""Up to this many times its objective a job is late; after that it is worth nothing."""


class QueueShape(msgspec.Struct, frozen=True):
    """What is submitted to one queue, as the sheets of the sites describe it."""

    queue: Queue
    jobs_per_s: float
    worth: float
    late_worth: float
    tasks: float
    needs: Resources
    accelerators: tuple[int, ...]
    work_ms: float
    work_spread: float
    guess_error: float
    gang_share: float = 0.0
    one_rack_share: float = 0.0
    checkpoint_share: float = 0.0
    second_step_share: float = 0.0
    cancelled_share: float = 0.0


class Burst(NamedTuple):
    """Jobs of one queue come ``factor`` times as often for a while."""

    queue: QueueName
    at_ms: int
    for_ms: int
    factor: float


class SiteShape(NamedTuple):
    """A site with its queues."""

    workers: int
    capacity: Resources
    queues: tuple[QueueShape, ...]


class DrawnJob(NamedTuple):
    """A job as it is submitted, with what only the workers know: the work of each task."""

    id: JobId
    shape: QueueShape
    request: JobRequest
    submitted_ms: int
    work_ms: tuple[tuple[float, ...], ...]
    """By step and task, on a sound worker in the best place."""

    cancelled_ms: int | None

    @property
    def objective_ms(self) -> float:
        """The time in which callers expect the job to end."""
        queue = self.shape.queue
        return queue.stretch * sum(max(step) for step in self.work_ms) + queue.objective_ms

    @property
    def core_ms(self) -> float:
        """Its whole work; an accelerator counts as 8 cores."""
        return sum(
            sum(works) * step.needs.millicore_equivalents / 1_000
            for step, works in zip(self.request.steps, self.work_ms, strict=True)
        )


def _queue(name: str, priority: int, stretch: float, objective_ms: int, failures: int) -> Queue:
    return Queue(
        QueueName(name),
        "site.example",
        f"/{name}/",
        POOL,
        priority=priority,
        max_failures=failures,
        stretch=stretch,
        objective_ms=objective_ms,
    )


def _normal(
    name: str, jobs_per_s: float, late_worth: float, tasks: float, millicores: int, work_ms: float
) -> QueueShape:
    """Large gangs, of which callers have only a rough guess."""
    return QueueShape(
        _queue(name, 1, 3.0, 1_000, 2),
        jobs_per_s,
        3.0,
        late_worth,
        tasks,
        Resources(millicores, 110_000),
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
    """Short gangs with little time to spare."""
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
    name: str, jobs_per_s: float, late_worth: float, tasks: float, millicores: int
) -> QueueShape:
    """Many single tasks of one accelerator."""
    return QueueShape(
        _queue(name, 2, 3.0, 3_000, 4),
        jobs_per_s,
        1.0,
        late_worth,
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


def draw_bursts(site: SiteShape, random: Random) -> list[Burst]:
    """One burst of urgent and one of normal work, as on the sites' heavy days."""
    normal, urgent, _ = site.queues
    return [
        Burst(urgent.queue.name, random.randrange(1_000, 10_000), 6_000, 1.9),
        Burst(normal.queue.name, random.randrange(8_000, 20_000), 3_500, 2.6),
    ]


def draw_jobs(site: SiteShape, load: float, seed: int) -> list[DrawnJob]:
    """Draws the jobs of a day with ``load`` times the usual traffic."""
    random = Random(f"site-load-{seed}")
    bursts = draw_bursts(site, random)
    jobs = []
    for shape in site.queues:
        peak = max(burst.factor for burst in bursts)
        at_ms = 0.0
        scale = site.workers / 24
        while True:
            at_ms += random.expovariate(shape.jobs_per_s * load * scale * peak) * 1_000
            if at_ms >= TRAFFIC_MS:
                break
            factor = max(
                (
                    burst.factor
                    for burst in bursts
                    if burst.queue == shape.queue.name
                    and burst.at_ms <= at_ms < burst.at_ms + burst.for_ms
                ),
                default=1.0,
            )
            if random.random() < factor / peak:
                jobs.append(_draw_job(site, shape, int(at_ms), random))
    return sorted(jobs, key=lambda job: job.submitted_ms)


def _draw_job(site: SiteShape, shape: QueueShape, at_ms: int, random: Random) -> DrawnJob:
    is_gang = random.random() < shape.gang_share
    needs = shape.needs + Resources(accelerators=random.choice(shape.accelerators))
    most = RACK_SIZE * needs.copies_in(site.capacity) if is_gang else 6 * shape.tasks
    tasks = max(1, min(int(most), round(_lognormal(random, shape.tasks, 0.8))))
    expected_ms = 0
    steps = []
    works = []
    for number in range(2 if random.random() < shape.second_step_share else 1):
        work_ms = min(MOST_WORK_MS, _lognormal(random, shape.work_ms, shape.work_spread))
        spread = [random.uniform(1 - UNEVENNESS, 1 + UNEVENNESS) for _ in range(tasks)]
        if is_gang:
            spread = [1.0] * tasks
        expected_ms = round(work_ms * math.exp(random.gauss(0, shape.guess_error / 2)))
        works.append(tuple(work_ms * each for each in spread))
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
        at_ms,
        tuple(works),
        None,
    )
    if random.random() < shape.cancelled_share:
        job = job._replace(cancelled_ms=at_ms + round(random.random() * job.objective_ms / 2))
    return job


def _lognormal(random: Random, mean: float, sigma: float) -> float:
    return mean * math.exp(random.gauss(-sigma * sigma / 2, sigma))
