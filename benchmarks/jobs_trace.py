"""Seeded traces of jobs in the brief's sizes of today."""

from __future__ import annotations

import math
import random

import msgspec

from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.zone_summary import RackSummary
from jujubehall.identifiers import JobId
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
TRACE_MS = 24 * HOUR_MS
WORKERS_PER_ZONE = 8
ACCELERATORS_PER_WORKER = 8
WORKER_MEMORY_GB = 250

_SMALL = ((1, 1), (1, 1), (1, 2), (1, 2), (1, 4), (2, 1))
_MEDIUM = ((1, 8), (1, 8), (2, 4), (4, 2), (8, 1), (1, 6))
_GANG = ((2, 8), (2, 8), (4, 8), (4, 4), (16, 1), (32, 1), (16, 2), (6, 8), (64, 1))
_IMPOSSIBLE = ((9, 8), (1, 16), (33, 2))


class Site(msgspec.Struct, frozen=True):
    """A deployment; ``area`` shares the accelerator-hours among small, medium and gang jobs."""

    zones: tuple[ZoneName, ...]
    cores: int
    area: tuple[float, float, float]
    fragmentation_weight: float


SITES = {
    "ogechi": Site(
        (ZoneName("lagos-mainland"), ZoneName("lagos-island"), ZoneName("port-harcourt")),
        60,
        (0.25, 0.35, 0.40),
        0.2,
    ),
    "nangolo": Site(
        (ZoneName("khomas-a"), ZoneName("khomas-b"), ZoneName("khomas-c")),
        130,
        (0.15, 0.25, 0.60),
        0.8,
    ),
}

TEAMS = (
    Team(TeamName("renders"), Shape(blocks=3, accelerators_per_block=16), 160),
    Team(TeamName("plans"), Shape(blocks=6, accelerators_per_block=8)),
    Team(TeamName("stems"), Shape(blocks=2, accelerators_per_block=8)),
    Team(TeamName("desk"), Shape(blocks=4, accelerators_per_block=4), 96),
)
_TEAM_SHARES = (0.4, 0.35, 0.15, 0.1)


class TraceJob(msgspec.Struct, frozen=True):
    """A job with what its caller doesn't know: how long it runs and whether it is cancelled."""

    id: JobId
    spec: JobSpec
    arrives_ms: int
    run_time_ms: int
    cancelled_ms: int | None
    can_checkpoint: bool
    impossible: bool = False


def site_racks(site: Site) -> dict[ZoneName, list[RackSummary]]:
    """The site's racks, one in each availability zone."""
    total = WORKERS_PER_ZONE * ACCELERATORS_PER_WORKER
    return {
        zone: [
            RackSummary(
                RackName(f"{zone}-rack"), total, total, WORKERS_PER_ZONE, ACCELERATORS_PER_WORKER
            )
        ]
        for zone in site.zones
    }


def make_trace(site: Site, seed: int, utilisation: float) -> list[TraceJob]:
    """Draws a day of jobs that needs a share ``utilisation`` of the site's accelerators."""
    rng = random.Random(f"{seed}/{utilisation}")
    capacity = len(site.zones) * WORKERS_PER_ZONE * ACCELERATORS_PER_WORKER
    jobs: list[TraceJob] = []
    for index, shapes in enumerate((_SMALL, _MEDIUM, _GANG)):
        left = utilisation * capacity * TRACE_MS * site.area[index]
        while left > 0:
            burst = _draw_burst(rng, index, shapes, len(jobs))
            jobs += burst
            left -= sum(_area(job) for job in burst if not job.impossible)
    return sorted(jobs, key=lambda job: (job.arrives_ms, job.id))


def _draw_burst(
    rng: random.Random, index: int, shapes: tuple[tuple[int, int], ...], number: int
) -> list[TraceJob]:
    """Draws one job, or a burst of jobs of one team that may be cancelled together."""
    team = rng.choices(TEAMS, _TEAM_SHARES)[0]
    size = rng.randint(10, 40) if rng.random() < 0.03 else 1
    if index == 2:
        size = rng.randint(2, 4) if rng.random() < 0.15 else 1
    arrives_ms = rng.randrange(TRACE_MS)
    wave = arrives_ms + rng.randrange(2 * HOUR_MS) if rng.random() < 0.03 else None
    jobs = []
    for offset in range(size):
        parts, accelerators = rng.choice(shapes)
        impossible = rng.random() < 0.01
        if impossible:
            parts, accelerators = rng.choice(_IMPOSSIBLE)
        # The median differs by team and kind, so that history says more than the declared time.
        median_ms = (25, 75, 120)[index] * MINUTE_MS * (1 + len(team.name) % 3 / 2)
        run_time_ms = int(median_ms * math.exp(rng.gauss(0, 0.5)))
        spec = JobSpec(
            team.name,
            ("small", "medium", "gang")[index],
            parts,
            accelerators,
            cores_per_part=3 * accelerators,
            memory_gb_per_part=12 * accelerators,
            run_time_ms=max(1, int(run_time_ms * 10 ** rng.uniform(-1, 1))),
            adjacent=rng.random() < 0.8,
            urgent=index == 0 and rng.random() < 0.05,
        )
        jobs.append(
            TraceJob(
                JobId(f"job-{number + offset:05}"),
                spec,
                arrives_ms + offset * 200,
                run_time_ms,
                wave,
                rng.random() < 0.8,
                impossible,
            )
        )
    return jobs


def _area(job: TraceJob) -> int:
    return job.spec.parts * job.spec.accelerators_per_part * job.run_time_ms
