"""Draws the load of a busy day, the jobs that callers submit, from a seed."""

from __future__ import annotations

import math

from random import Random
from typing import NamedTuple

import msgspec

from benchmarks.site_state import POOL
from benchmarks.site_state import WORKERS_PER_RACK
from benchmarks.site_state import ZONE_COUNT
from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import TeamName

GANG_ACCELERATORS = (1, 2, 4, 8, 8)
ARRIVAL_PERIOD_MS = 34_000
MAX_TASK_WORK_MS = 11_000
TASK_WORK_VARIATION = 0.15
"""The work of a job's tasks differs from their common value by at most this share."""

TAIL_FACTOR = 7.0
"""How many times longer the tasks of the jobs in a queue's tail take."""

LATE_FACTOR = 3.0
"""A job is late up to this multiple of its objective; after that it earns no credit."""

ONLY_TEAM = TeamName("t")
TEAM_COUNT = 10
GUARANTEED_SHARE = 0.15
"""Share of the accelerators that the teams are guaranteed together, divided by their size."""


class QueueShape(msgspec.Struct, frozen=True):
    """The load on one queue, as the data sheets of the sites describe it.

    ``tasks`` and ``work_ms`` are means, and ``work_spread`` is the sigma of the log-normal work.
    ``estimate_error`` is twice the sigma of the log-normal error of the callers' estimates. A job
    is worth ``full_value`` if it ends in time and ``late_value`` if it is late. Without
    ``max_tasks``, a gang is no larger than a rack, and other steps no larger than 6 times the mean.
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
    max_tasks: int | None = None
    max_work_ms: float = MAX_TASK_WORK_MS
    tail_share: float = 0.0
    """Share of the steps whose work is ``TAIL_FACTOR`` times as long."""


class Burst(NamedTuple):
    """A period in which the arrival rate of one queue is ``factor`` times as high."""

    queue: QueueName
    start_ms: int
    duration_ms: int
    factor: float


class BurstShape(NamedTuple):
    """The range of the burst of the queue with the given priority, as on the sites' busy days."""

    priority: int
    min_start_ms: int
    max_start_ms: int
    duration_ms: int
    min_factor: float
    max_factor: float

    def draw(self, queue: QueueName, random: Random) -> Burst:
        """Draws the start and the factor of one burst."""
        start_ms = random.randrange(self.min_start_ms, self.max_start_ms)
        factor = self.min_factor
        if self.max_factor > factor:
            factor = random.uniform(factor, self.max_factor)
        return Burst(queue, start_ms, self.duration_ms, factor)


USUAL_BURSTS = (
    BurstShape(0, 1_000, 10_000, 6_000, 1.9, 1.9),
    BurstShape(1, 8_000, 20_000, 3_500, 2.6, 2.6),
)
LARGE_BURSTS = (*USUAL_BURSTS, BurstShape(2, 1_000, 12_000, 4_000, 2.6, 2.6))
EARLY_BURSTS = (
    BurstShape(0, 500, 6_000, 6_000, 2.0, 2.4),
    BurstShape(2, 2_000, 8_000, 5_000, 2.3, 2.3),
)


class Swing(NamedTuple):
    """A sine around the usual arrival rate, with an amplitude of ``share`` of it."""

    share: float
    period_ms: int

    def factor(self, at_ms: float) -> float:
        """Returns the arrival rate at ``at_ms`` relative to the usual one."""
        return 1.0 + self.share * math.sin(2 * math.pi * at_ms / self.period_ms)


NO_SWING = Swing(0.0, ARRIVAL_PERIOD_MS)


class SiteShape(NamedTuple):
    """A site: its workers and the load on its queues."""

    workers: int
    capacity: Resources
    queues: tuple[QueueShape, ...]
    workers_per_rack: int = WORKERS_PER_RACK
    bursts: tuple[BurstShape, ...] = USUAL_BURSTS
    zones: int = ZONE_COUNT
    rated_workers: int = 24
    """The number of workers to which ``QueueShape.jobs_per_s`` refers."""

    slowdowns: tuple[float, ...] = (1.0,)
    """How many times longer tasks take on the workers, in turn."""

    shuffles_slowdowns: bool = False
    swing: Swing = NO_SWING
    checkpoint_restore_ms: int = 100
    team_skew: float | None = None
    """Exponent of the Zipf distribution of the teams' sizes; None for a single team."""

    def teams(self) -> tuple[Team, ...]:
        """Returns the teams with their guarantees, largest first; empty for a single team."""
        sizes = self.team_sizes()
        accelerators = GUARANTEED_SHARE * self.workers * self.capacity.accelerators
        return tuple(
            Team(name, guaranteed_accelerators=round(accelerators * size / sum(sizes.values())))
            for name, size in sizes.items()
        )

    def team_sizes(self) -> dict[TeamName, float]:
        """Returns the relative number of jobs of each team; empty for a single team."""
        if self.team_skew is None:
            return {}
        return {
            TeamName(f"team-{rank}"): rank**-self.team_skew for rank in range(1, TEAM_COUNT + 1)
        }

    def draw_slowdowns(self, seed: int) -> list[float]:
        """Returns how many times longer tasks take on each worker."""
        factors = [self.slowdowns[n % len(self.slowdowns)] for n in range(self.workers)]
        if self.shuffles_slowdowns:
            Random(f"slowdowns-{seed}").shuffle(factors)
        return factors


class DrawnJob(NamedTuple):
    """A submitted job with the work of each task, which only the workers know."""

    id: JobId
    shape: QueueShape
    request: JobRequest
    submitted_ms: int
    work_ms: tuple[tuple[float, ...], ...]
    """The run time of each task, by step and task, on a healthy worker with the best placement."""

    cancelled_ms: int | None
    team: TeamName = ONLY_TEAM

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
    estimate_error: float = 0.9,
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
        estimate_error,
        gang_share=1.0,
        one_rack_share=0.6,
        checkpoint_share=0.45,
        cancelled_share=0.05,
    )


def _urgent(
    name: str,
    jobs_per_s: float,
    tasks: float,
    millicores: int,
    memory_mb: int = 31_000,
    work_ms: float = 2_500,
) -> QueueShape:
    """Makes the load of an urgent queue: short gangs with tight objectives."""
    return QueueShape(
        _queue(name, 0, 1.5, 250, 3),
        jobs_per_s,
        4.0,
        0.8,
        tasks,
        Resources(millicores, memory_mb),
        GANG_ACCELERATORS,
        work_ms,
        0.5,
        0.2,
        gang_share=1.0,
        one_rack_share=0.8,
    )


def _overnight(
    name: str,
    jobs_per_s: float,
    late_value: float,
    tasks: float,
    millicores: int,
    memory_mb: int = 16_000,
    work_ms: float = 9_500,
    estimate_error: float = 0.2,
) -> QueueShape:
    """Makes the load of an overnight queue: many independent tasks of one accelerator each."""
    return QueueShape(
        _queue(name, 2, 3.0, 3_000, 4),
        jobs_per_s,
        1.0,
        late_value,
        tasks,
        Resources(millicores, memory_mb),
        (1,),
        work_ms,
        0.3,
        estimate_error,
        checkpoint_share=0.45,
        second_step_share=0.3,
        cancelled_share=0.15,
    )


def _with_limits(
    shape: QueueShape,
    objective_ms: int,
    max_tasks: int,
    max_failures: int | None = None,
    max_work_ms: float = MAX_TASK_WORK_MS,
    tail_share: float = 0.0,
) -> QueueShape:
    """Returns the load with the objective of the queue and the limits of its jobs replaced."""
    queue = msgspec.structs.replace(
        shape.queue,
        objective_ms=objective_ms,
        max_failures=max_failures or shape.queue.max_failures,
    )
    return msgspec.structs.replace(
        shape, queue=queue, max_tasks=max_tasks, max_work_ms=max_work_ms, tail_share=tail_share
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
        bursts=LARGE_BURSTS,
        slowdowns=(1.0, 1.0, 1.3),
    ),
    "brennholt": SiteShape(
        176,
        Resources(64_000, 262_144, 8),
        (
            _with_limits(
                _normal("lottery-draw", 0.693, 0.3, 13.0, 26_000, 11_000),
                objective_ms=1_003,
                max_failures=3,
                max_tasks=78,
            ),
            _with_limits(
                _urgent("counter-issue", 4.59, 5.4, 7_500, memory_mb=39_000),
                objective_ms=253,
                max_tasks=32,
                max_work_ms=8_000,
            ),
            _with_limits(
                _overnight(
                    "quota-recon", 0.679, 0.1, 39.0, 5_600, memory_mb=29_000, estimate_error=0.9
                ),
                objective_ms=3_004,
                max_failures=3,
                max_tasks=230,
            ),
        ),
        bursts=EARLY_BURSTS,
        zones=4,
        rated_workers=176,
        checkpoint_restore_ms=600,
        team_skew=1.2,
    ),
    "lianhe": SiteShape(
        175,
        Resources(32_000, 131_072, 8),
        (
            _with_limits(
                _normal(
                    "portfolio-reprice",
                    0.933,
                    0.9,
                    13.0,
                    13_000,
                    5_800,
                    memory_mb=53_000,
                    estimate_error=0.5,
                ),
                objective_ms=1_004,
                max_tasks=78,
                max_work_ms=61_000,
                tail_share=0.03,
            ),
            _with_limits(
                _urgent("applicant-score", 2.54, 5.4, 3_700, memory_mb=20_000, work_ms=2_100),
                objective_ms=253,
                max_tasks=32,
                max_work_ms=22_000,
                tail_share=0.03,
            ),
            _with_limits(
                _overnight(
                    "repay-check",
                    0.585,
                    0.3,
                    39.0,
                    2_800,
                    memory_mb=15_000,
                    work_ms=8_100,
                    estimate_error=0.5,
                ),
                objective_ms=3_003,
                max_failures=2,
                max_tasks=230,
                max_work_ms=86_000,
                tail_share=0.03,
            ),
        ),
        bursts=EARLY_BURSTS,
        rated_workers=175,
        slowdowns=(0.6, 1.0, 1.6),
        shuffles_slowdowns=True,
        swing=Swing(0.55, 13_000),
        team_skew=0.3,
    ),
}
"""Sites of which one day takes from half a minute to minutes."""


def draw_bursts(site: SiteShape, random: Random) -> list[Burst]:
    """Draws one burst of each queue that has them, as on the busy days of the sites."""
    names = {shape.queue.priority: shape.queue.name for shape in site.queues}
    return [burst.draw(names[burst.priority], random) for burst in site.bursts]


def draw_jobs(site: SiteShape, load: float, seed: int) -> list[DrawnJob]:
    """Draws the jobs of one day at ``load`` times the usual arrival rate, by submission time."""
    random = Random(f"site-load-{seed}")
    bursts = draw_bursts(site, random)
    jobs = []
    for shape in site.queues:
        peak_factor = max(burst.factor for burst in bursts) * (1.0 + site.swing.share)
        submitted_ms = 0.0
        scale = site.workers / site.rated_workers
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
            if random.random() < factor * site.swing.factor(submitted_ms) / peak_factor:
                jobs.append(_draw_job(site, shape, int(submitted_ms), random))
    return sorted(jobs, key=lambda job: job.submitted_ms)


def _draw_job(site: SiteShape, shape: QueueShape, submitted_ms: int, random: Random) -> DrawnJob:
    is_gang = random.random() < shape.gang_share
    needs = shape.needs + Resources(accelerators=random.choice(shape.accelerators))
    tasks_per_rack = site.workers_per_rack * needs.count_fitting(site.capacity)
    max_tasks = shape.max_tasks or int(tasks_per_rack if is_gang else 6 * shape.tasks)
    tasks = max(1, min(max_tasks, round(_lognormal(random, shape.tasks, 0.8))))
    # A preference for one rack would only slow down a larger gang.
    may_prefer_one_rack = is_gang and tasks <= tasks_per_rack
    expected_ms = 0
    steps = []
    work_by_step_ms = []
    for number in range(2 if random.random() < shape.second_step_share else 1):
        work_ms = _lognormal(random, shape.work_ms, shape.work_spread)
        if shape.tail_share and random.random() < shape.tail_share:
            work_ms *= TAIL_FACTOR
        work_ms = min(shape.max_work_ms, work_ms)
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
                prefers_one_rack=may_prefer_one_rack and random.random() < shape.one_rack_share,
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
    sizes = site.team_sizes()
    if sizes:
        job = job._replace(team=random.choices(list(sizes), list(sizes.values()))[0])
    return job


def _lognormal(random: Random, mean: float, sigma: float) -> float:
    return mean * math.exp(random.gauss(-sigma * sigma / 2, sigma))
