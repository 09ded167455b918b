"""Prometheus metrics of the jobs in the zones that this entry host owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter
from aioprometheus import Gauge

from jujubehall.metrics import REGISTRY

if TYPE_CHECKING:
    from jujubehall.services.zone_owner import ZoneOwner

ATTEMPTS_ENDED = Counter(
    "jujubehall_job_attempts_ended_total",
    "Attempts of jobs that have ended, by the state in which they left the job.",
    registry=REGISTRY,
)
QUARANTINES = Counter(
    "jujubehall_worker_quarantines_total", "Workers put into quarantine.", registry=REGISTRY
)
POLICY_FAILURES = Counter(
    "jujubehall_policy_failures_total",
    "Rounds of decisions dropped because they broke an invariant.",
    registry=REGISTRY,
)
WORKER_COMMANDS = Gauge(
    "jujubehall_worker_commands",
    "Commands sent to workers by the present owner.",
    registry=REGISTRY,
)
GANGS = Gauge("jujubehall_gangs", "Gangs that hold workers, by phase.", registry=REGISTRY)
QUEUED_JOBS = Gauge("jujubehall_queued_jobs", "Jobs that wait.", registry=REGISTRY)


def update_gauges(owner: ZoneOwner) -> None:
    """Sets the gauges of an owned zone to its current state."""
    zone: dict[str, str] = {"zone": owner.zone}
    phases = [runner.gang.phase.value for runner in owner.gangs.active]
    for phase in ("placing", "running", "stopping"):
        GANGS.set({**zone, "phase": phase}, sum(_phase_group(each) == phase for each in phases))
    QUEUED_JOBS.set(zone, len(owner.queued))
    for step, count in owner.workers.commands.items():
        WORKER_COMMANDS.set({**zone, "step": step}, count)


def _phase_group(phase: str) -> str:
    if phase in ("running", "adopting"):
        return "running"
    return "stopping" if phase in ("checkpointing", "stopping", "ending") else "placing"
