"""What callers do with jobs: submit gangs and small jobs, urgent ones, and cancel."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from jujubehall.core.jobs.job import JobSpec
from jujubehall.identifiers import JobId
from jujubehall.services.timing import start
from jujubehall.testing.randomised.registry import action
from jujubehall.testing.randomised.step import Step
from jujubehall.testing.randomised.world import TEAMS

if TYPE_CHECKING:
    from random import Random

    from jujubehall.testing.randomised.world import World

SHAPES = ((1, 1), (1, 2), (2, 4), (2, 8), (4, 4), (4, 8), (8, 4))
"""Parts, and accelerators for each part."""

RUN_TIMES_MS = (500, 5_000, 20_000, 60_000)
IMPOSSIBLE_SHAPE = (8, 64)
MAX_PAUSE_MS = 1_500
WAVE_JOBS = 6


def _plan_submission(world: World, random: Random) -> Step:
    shape = random.choice((*range(len(SHAPES)), *range(len(SHAPES)), -1))
    detail = f"{shape}/{random.choice(RUN_TIMES_MS)}/{random.choice(('', '', '', 'urgent'))}"
    host = random.choice(world.running_hosts).name
    name = f"{world.next_name('job')}:{detail}"
    return Step("submit job", random.randint(0, MAX_PAUSE_MS), name, host)


def _plan_cancellation(world: World, random: Random) -> Step | None:
    if not world.accepted_jobs:
        return None
    job = random.choice(sorted(world.accepted_jobs))
    host = random.choice(world.running_hosts).name
    return Step("cancel job", random.randint(0, MAX_PAUSE_MS), job, host)


def _plan_wave(world: World, random: Random) -> Step | None:
    if not world.accepted_jobs:
        return None
    return Step("cancel newest jobs", random.randint(0, MAX_PAUSE_MS), amount=WAVE_JOBS)


@action("submit job", 12, _plan_submission)
def submit_job(world: World, step: Step) -> None:
    """Submits a job; its name carries its shape, run time and urgency."""
    name, detail = step.target.split(":")
    shape, run_ms, urgent = detail.split("/")
    parts, accelerators = IMPOSSIBLE_SHAPE if shape == "-1" else SHAPES[int(shape)]
    team = TEAMS[int(name.rsplit("-", 1)[1]) % len(TEAMS)]
    command = f"run:{run_ms}"
    spec = JobSpec(team, "mix-render", parts, accelerators, command=command, urgent=bool(urgent))
    host = world.host(step.other)
    job = JobId(name)

    def submit() -> None:
        start(host.host.jobs.submit(spec, job)).addCallback(
            lambda answer: world.accepted_jobs.add(job) if isinstance(answer, Ok) else None
        )

    host.reactor.callLater(0, submit)


@action("cancel job", 3, _plan_cancellation)
def cancel_job(world: World, step: Step) -> None:
    """Cancels an accepted job through any entry host."""
    host = world.host(step.other)
    host.reactor.callLater(0, lambda: start(host.host.jobs.cancel(JobId(step.target))))


@action("cancel newest jobs", 1, _plan_wave)
def cancel_newest_jobs(world: World, step: Step) -> None:
    """Cancels several jobs at once."""
    host = world.running_hosts[0]
    for job in sorted(world.accepted_jobs)[-step.amount :]:
        host.reactor.callLater(0, lambda job=job: start(host.host.jobs.cancel(job)))
