"""The owner learns of stored records in time, though nobody notifies it and its watch is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.identifiers import JobId
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.records import cancellation_key
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

CANCEL_BOUND_S = 3.0
JOB = JobId("00000000000000a1")


def submit_long_chain(site: VirtualFleet) -> None:
    steps = [step(1, expected_ms=300)]
    steps += [step(1, expected_ms=300, after=(number,)) for number in range(40)]
    site.submit(JOB, JobRequest("spec", tuple(steps)))
    site.run(1.5)
    assert site.run_recorder.start_counts


def cancel_without_notice(site: VirtualFleet) -> None:
    site.store.commit([], [Write(cancellation_key(JOB), b"{}")], [])


def test_cancelled_job_starts_nothing_more_though_the_watch_of_the_owner_is_lost(
    site: VirtualFleet,
) -> None:
    submit_long_chain(site)
    assert site.owner is not None
    site.owner.store.silence_connections()
    cancel_without_notice(site)
    site.run(CANCEL_BOUND_S)
    started = sum(site.run_recorder.start_counts.values())
    site.run(5.0)
    assert sum(site.run_recorder.start_counts.values()) == started


def test_cancelled_job_starts_nothing_more_though_watches_deliver_nothing(
    site: VirtualFleet,
) -> None:
    submit_long_chain(site)
    for host in site.hosts:
        host.store.drops_watch_events = True
    site.run(1.0)
    cancel_without_notice(site)
    site.run(CANCEL_BOUND_S)
    started = sum(site.run_recorder.start_counts.values())
    site.run(5.0)
    assert sum(site.run_recorder.start_counts.values()) == started
