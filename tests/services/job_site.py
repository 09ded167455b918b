"""A virtual site for tests of jobs, with the invariants checked at its workers."""

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
from jujubehall.testing.randomised.gang_invariants import spans
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from twisted.logger import LogEvent

    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.services.zone_owner import ZoneOwner
    from jujubehall.testing.virtual.site import VirtualHost

TEAM = TeamName("studio")
ZONE = ZoneName("zone-a")
LONG_MS = 100_000_000

escaped: list[str] = []
"""Exceptions that escaped from a service, such as a failed invariant, since the last site."""


def _note_failure(event: LogEvent) -> None:
    if "log_failure" in event:
        escaped.append(event["log_failure"].getTraceback())


globalLogPublisher.addObserver(_note_failure)  # type: ignore[arg-type]


def make_site(
    seed: int = 1, *, zones: int = 1, workers: int = 4, entry_hosts: int = 3, per_rack: int = 4
) -> VirtualSite:
    """A started site whose zones are owned and whose workers are known."""
    gc.collect()
    escaped.clear()
    site_file = SiteFile(
        zones=tuple(f"zone-{letter}" for letter in "abcdefgh"[:zones]),
        entry_hosts=entry_hosts,
        endpoints=1,
        workers=workers,
        workers_per_rack=per_rack,
        worker_capacity=Resources(8, 60, 250),
        first_port=20_000,
    )
    site = VirtualSite(site_file, seed)
    site.run_until(lambda: all(each.host.is_ready for each in site.hosts.values()))
    for each in site.hosts.values():
        # The requests' side plays no part here, and its loop would take most of the time.
        each.host.takeover.stop()
    site.run_until(lambda: len(all_owners(site)) == zones)
    site.run_for(2_000)
    return site


def spec(
    parts: int = 4, accelerators: int = 4, command: str = f"run:{LONG_MS}", *, urgent: bool = False
) -> JobSpec:
    """A gang of the one team."""
    return JobSpec(TEAM, "mix-render", parts, accelerators, command=command, urgent=urgent)


def live_hosts(site: VirtualSite) -> list[VirtualHost]:
    """The entry hosts that are neither killed nor frozen."""
    return [
        each
        for each in site.hosts.values()
        if not each.reactor.is_killed and not each.reactor.is_frozen
    ]


def all_owners(site: VirtualSite) -> list[ZoneOwner]:
    """The ownerships on live entry hosts."""
    return [owner for each in live_hosts(site) for owner in each.host.scheduler.owners]


def owner_host(site: VirtualSite, zone: ZoneName = ZONE) -> VirtualHost:
    """The live entry host that acts as the owner of a zone."""
    return next(
        each
        for each in live_hosts(site)
        if any(owner.zone == zone for owner in each.host.scheduler.owners)
        and each.host.membership.owns(zone_scope(zone))
    )


def submit(site: VirtualSite, job: JobSpec, identifier: str | None = None) -> JobId:
    """Submits through a live entry host."""
    jobs = live_hosts(site)[0].host.jobs
    record = site.finish(jobs.submit(job, None if identifier is None else JobId(identifier)))
    accepted: JobRecord = record.unwrap()
    return accepted.id


def job_of(site: VirtualSite, job: JobId) -> JobRecord:
    """A job as a live entry host knows it, its archive included."""
    found: JobRecord = site.finish(live_hosts(site)[0].host.jobs.find(job)).unwrap()
    return found


def run_until_state(
    site: VirtualSite, job: JobId, *states: JobState, timeout_ms: int = 60_000
) -> None:
    """Lets time pass until an entry host sees the job in one of the states."""
    site.run_until(lambda: job_state(site, job) in states, timeout_ms)


def job_state(site: VirtualSite, job: JobId) -> JobState | None:
    """A job's state in the cache of a live entry host."""
    record = live_hosts(site)[0].host.jobs.job(job)
    return None if record is None else record.state


def running_parts(site: VirtualSite, job: JobId) -> int:
    """How many parts of a job run now, of all its attempts."""
    return sum(
        span.ended_at_ms is None
        for (name, _), parts in spans(site).items()
        if name == job
        for span in parts.values()
    )


def check_no_exception() -> None:
    """Asserts that no invariant inside the program failed."""
    # An exception that nobody handles is logged when its Deferred is collected.
    gc.collect()
    assert not escaped, escaped[0]
