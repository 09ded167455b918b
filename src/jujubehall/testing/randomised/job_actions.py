"""Job actions of callers: submission of gangs, small jobs and urgent jobs, and cancellation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from jujubehall.core.jobs.job import JobSpec
from jujubehall.identifiers import JobId
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.randomised.registry import action
from jujubehall.testing.randomised.simulation import TEAMS
from jujubehall.testing.randomised.step import Step

if TYPE_CHECKING:
    from random import Random

    from jujubehall.testing.randomised.simulation import Simulation

JOB_SHAPES = ((1, 1), (1, 2), (2, 4), (2, 8), (4, 4), (4, 8), (8, 4))
"""The number of parts and the accelerators per part."""

RUN_TIMES_MS = (500, 5_000, 20_000, 60_000)
UNPLACEABLE_SHAPE = (8, 64)
"""A shape whose parts need more accelerators than any worker has."""

MAX_PAUSE_MS = 1_500
MASS_CANCELLATION_JOBS = 6


def _plan_submission(simulation: Simulation, random: Random) -> Step:
    shape = random.choice((*range(len(JOB_SHAPES)), *range(len(JOB_SHAPES)), -1))
    detail = f"{shape}/{random.choice(RUN_TIMES_MS)}/{random.choice(('', '', '', 'urgent'))}"
    host = random.choice(simulation.running_hosts).name
    name = f"{simulation.unique_name('job')}:{detail}"
    return Step("submit job", random.randint(0, MAX_PAUSE_MS), name, host)


def _plan_cancellation(simulation: Simulation, random: Random) -> Step | None:
    if not simulation.accepted_jobs:
        return None
    job = random.choice(sorted(simulation.accepted_jobs))
    host = random.choice(simulation.running_hosts).name
    return Step("cancel job", random.randint(0, MAX_PAUSE_MS), job, host)


def _plan_mass_cancellation(simulation: Simulation, random: Random) -> Step | None:
    if not simulation.accepted_jobs:
        return None
    return Step(
        "cancel newest jobs", random.randint(0, MAX_PAUSE_MS), amount=MASS_CANCELLATION_JOBS
    )


@action("submit job", 12, _plan_submission)
def submit_job(simulation: Simulation, step: Step) -> None:
    """Submits a job through an entry host.

    ``target`` has the form ``<job>:<shape index>/<run time in ms>/<"urgent" or nothing>``; the
    shape index -1 stands for ``UNPLACEABLE_SHAPE``.
    """
    name, detail = step.target.split(":")
    shape, run_ms, urgent = detail.split("/")
    parts, accelerators = UNPLACEABLE_SHAPE if shape == "-1" else JOB_SHAPES[int(shape)]
    team = TEAMS[int(name.rsplit("-", 1)[1]) % len(TEAMS)]
    command = f"run:{run_ms}"
    spec = JobSpec(team, "mix-render", parts, accelerators, command=command, urgent=bool(urgent))
    host = simulation.host(step.other)
    job = JobId(name)

    def submit() -> None:
        run_in_background(host.entry_host.jobs.submit(spec, job)).addCallback(
            lambda result: simulation.accepted_jobs.add(job) if isinstance(result, Ok) else None
        )

    host.reactor.callLater(0, submit)


@action("cancel job", 3, _plan_cancellation)
def cancel_job(simulation: Simulation, step: Step) -> None:
    """Cancels an accepted job through any entry host."""
    host = simulation.host(step.other)
    host.reactor.callLater(
        0, lambda: run_in_background(host.entry_host.jobs.cancel(JobId(step.target)))
    )


@action("cancel newest jobs", 1, _plan_mass_cancellation)
def cancel_newest_jobs(simulation: Simulation, step: Step) -> None:
    """Cancels the last ``amount`` accepted jobs, in the order of their names, at the same time."""
    host = simulation.running_hosts[0]
    for job in sorted(simulation.accepted_jobs)[-step.amount :]:
        host.reactor.callLater(
            0, lambda job=job: run_in_background(host.entry_host.jobs.cancel(job))
        )
