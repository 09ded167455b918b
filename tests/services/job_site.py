"""Helpers that create a virtual site for job tests and query its jobs, owners and workers."""

from __future__ import annotations

import gc

from typing import TYPE_CHECKING

from twisted.logger import globalLogPublisher

from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.core.ownership.scopes import zone_scope
from jujubehall.identifiers import JobId
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName
from jujubehall.testing.randomised.gang_invariants import runs_by_attempt
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from twisted.logger import LogEvent

    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.services.zone_owner import ZoneOwner
    from jujubehall.testing.virtual.site import VirtualEntryHost

TEAM = TeamName("studio")
ZONE = ZoneName("zone-a")
LONG_RUN_MS = 100_000_000

unhandled_tracebacks: list[str] = []
"""Tracebacks of unhandled exceptions in services, such as failed invariants.

``make_site`` clears the list.
"""


def _record_failure(event: LogEvent) -> None:
    if "log_failure" in event:
        unhandled_tracebacks.append(event["log_failure"].getTraceback())


globalLogPublisher.addObserver(_record_failure)  # type: ignore[arg-type]


def make_site(
    seed: int = 1, *, zones: int = 1, workers: int = 4, entry_hosts: int = 3, per_rack: int = 4
) -> VirtualSite:
    """Returns a started site whose zones all have an owner that knows the workers."""
    gc.collect()
    unhandled_tracebacks.clear()
    site_file = SiteFile(
        zones=tuple(f"zone-{suffix}" for suffix in "abcdefgh"[:zones]),
        entry_hosts=entry_hosts,
        endpoints=1,
        workers=workers,
        workers_per_rack=per_rack,
        worker_capacity=Resources(8, 60, 250),
        first_port=20_000,
    )
    site = VirtualSite(site_file, seed)
    site.run_until(lambda: all(each.entry_host.is_ready for each in site.hosts.values()))
    for each in site.hosts.values():
        # These tests don't use request shards, and the takeover loop would take most of the time.
        each.entry_host.shard_takeover.stop()
    site.run_until(lambda: len(all_owners(site)) == zones)
    site.run_for(2_000)
    return site


def gang_spec(
    parts: int = 4,
    accelerators: int = 4,
    command: str = f"run:{LONG_RUN_MS}",
    *,
    urgent: bool = False,
) -> JobSpec:
    """Returns the specification of a gang job of the test team."""
    return JobSpec(TEAM, "mix-render", parts, accelerators, command=command, urgent=urgent)


def live_hosts(site: VirtualSite) -> list[VirtualEntryHost]:
    """Returns the entry hosts that are neither killed nor suspended."""
    return [
        each
        for each in site.hosts.values()
        if not each.reactor.is_killed and not each.reactor.is_suspended
    ]


def all_owners(site: VirtualSite) -> list[ZoneOwner]:
    """Returns the active zone owners on live entry hosts."""
    return [owner for each in live_hosts(site) for owner in each.entry_host.scheduler.owners]


def owner_host(site: VirtualSite, zone: ZoneName = ZONE) -> VirtualEntryHost:
    """Returns the live entry host that runs the owner of a zone and is its recorded owner."""
    return next(
        each
        for each in live_hosts(site)
        if any(owner.zone == zone for owner in each.entry_host.scheduler.owners)
        and each.entry_host.membership.owns(zone_scope(zone))
    )


def submit(site: VirtualSite, job: JobSpec, identifier: str | None = None) -> JobId:
    """Submits a job through a live entry host and returns its identifier."""
    jobs = live_hosts(site)[0].entry_host.jobs
    record = site.run_coroutine(jobs.submit(job, None if identifier is None else JobId(identifier)))
    accepted: JobRecord = record.unwrap()
    return accepted.id


def find_job(site: VirtualSite, job: JobId) -> JobRecord:
    """Returns the record of a job, looked up through a live entry host, archived or not."""
    found: JobRecord = site.run_coroutine(live_hosts(site)[0].entry_host.jobs.find(job)).unwrap()
    return found


def run_until_state(
    site: VirtualSite, job: JobId, *states: JobState, timeout_ms: int = 60_000
) -> None:
    """Runs the site until a live entry host sees the job in one of ``states``."""
    site.run_until(lambda: job_state(site, job) in states, timeout_ms)


def job_state(site: VirtualSite, job: JobId) -> JobState | None:
    """Returns a job's state in the cache of a live entry host, or None if it isn't cached."""
    record = live_hosts(site)[0].entry_host.jobs.cached_job(job)
    return None if record is None else record.state


def running_parts(site: VirtualSite, job: JobId) -> int:
    """Returns how many parts of a job are running now, over all attempts."""
    return sum(
        span.ended_at_ms is None
        for (name, _), parts in runs_by_attempt(site).items()
        if name == job
        for span in parts.values()
    )


def check_no_exception() -> None:
    """Asserts that no exception, such as a failed invariant, went unhandled in a service."""
    # Twisted logs an unhandled exception when its Deferred is garbage-collected.
    gc.collect()
    assert not unhandled_tracebacks, unhandled_tracebacks[0]
