"""Draws seeded traces of jobs for sites of the present size."""

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

_SMALL_SHAPES = ((1, 1), (1, 1), (1, 2), (1, 2), (1, 4), (2, 1))
_MEDIUM_SHAPES = ((1, 8), (1, 8), (2, 4), (4, 2), (8, 1), (1, 6))
_GANG_SHAPES = ((2, 8), (2, 8), (4, 8), (4, 4), (16, 1), (32, 1), (16, 2), (6, 8), (64, 1))
_IMPOSSIBLE_SHAPES = ((9, 8), (1, 16), (33, 2))


class Site(msgspec.Struct, frozen=True):
    """A site of the benchmark.

    ``area_shares`` are the shares of the accelerator-hours that go to small, medium and gang jobs.
    """

    zones: tuple[ZoneName, ...]
    cores: int
    area_shares: tuple[float, float, float]
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
    """A job with the run time and the cancellation that the scheduler isn't told.

    The caller doesn't know them either. ``is_impossible`` marks a job that no zone can ever run.
    """

    id: JobId
    spec: JobSpec
    submitted_ms: int
    run_time_ms: int
    cancelled_ms: int | None
    can_checkpoint: bool
    is_impossible: bool = False


def site_racks(site: Site) -> dict[ZoneName, list[RackSummary]]:
    """Returns the site's racks: one in each availability zone."""
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
    """Draws one day of jobs that need a share ``utilisation`` of the site's accelerator time."""
    rng = random.Random(f"{seed}/{utilisation}")
    capacity = len(site.zones) * WORKERS_PER_ZONE * ACCELERATORS_PER_WORKER
    jobs: list[TraceJob] = []
    for size_class, shapes in enumerate((_SMALL_SHAPES, _MEDIUM_SHAPES, _GANG_SHAPES)):
        remaining_accelerator_ms = utilisation * capacity * TRACE_MS * site.area_shares[size_class]
        while remaining_accelerator_ms > 0:
            burst = _draw_burst(rng, size_class, shapes, len(jobs))
            jobs += burst
            remaining_accelerator_ms -= sum(
                _accelerator_ms(job) for job in burst if not job.is_impossible
            )
    return sorted(jobs, key=lambda job: (job.submitted_ms, job.id))


def _draw_burst(
    rng: random.Random, size_class: int, shapes: tuple[tuple[int, int], ...], first_number: int
) -> list[TraceJob]:
    """Draws one job, or a burst of jobs of one team, which may all be cancelled together."""
    team = rng.choices(TEAMS, _TEAM_SHARES)[0]
    size = rng.randint(10, 40) if rng.random() < 0.03 else 1
    if size_class == 2:
        size = rng.randint(2, 4) if rng.random() < 0.15 else 1
    submitted_ms = rng.randrange(TRACE_MS)
    cancelled_ms = submitted_ms + rng.randrange(2 * HOUR_MS) if rng.random() < 0.03 else None
    jobs = []
    for offset in range(size):
        parts, accelerators = rng.choice(shapes)
        is_impossible = rng.random() < 0.01
        if is_impossible:
            parts, accelerators = rng.choice(_IMPOSSIBLE_SHAPES)
        # The median depends on the team and the kind, so that past run times predict a job's
        # run time better than the declared one does.
        median_ms = (25, 75, 120)[size_class] * MINUTE_MS * (1 + len(team.name) % 3 / 2)
        run_time_ms = int(median_ms * math.exp(rng.gauss(0, 0.5)))
        spec = JobSpec(
            team.name,
            ("small", "medium", "gang")[size_class],
            parts,
            accelerators,
            cores_per_part=3 * accelerators,
            memory_gb_per_part=12 * accelerators,
            run_time_ms=max(1, int(run_time_ms * 10 ** rng.uniform(-1, 1))),
            adjacent=rng.random() < 0.8,
            urgent=size_class == 0 and rng.random() < 0.05,
        )
        jobs.append(
            TraceJob(
                JobId(f"job-{first_number + offset:05}"),
                spec,
                submitted_ms + offset * 200,
                run_time_ms,
                cancelled_ms,
                rng.random() < 0.8,
                is_impossible,
            )
        )
    return jobs


def _accelerator_ms(job: TraceJob) -> int:
    return job.spec.parts * job.spec.accelerators_per_part * job.run_time_ms
