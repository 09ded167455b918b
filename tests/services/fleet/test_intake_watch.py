"""The owner learns of stored records in time, though nobody notifies it and its watch is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.identifiers import JobId
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.records import INTAKE_PREFIX
from jujubehall.services.fleet.records import cancellation_key
from jujubehall.testing.virtual.fleet.store import VirtualStore
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from typing import Any

    import pytest

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


def test_record_that_a_watch_has_passed_over_is_found_by_the_next_one(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    submit_long_chain(site)
    watch = VirtualStore.watch

    async def watch_without_events(self: Any, prefix: str, after: Any, *more: Any) -> Any:
        found = await watch(self, prefix, after, *more)
        if prefix == INTAKE_PREFIX:
            found = found.map(lambda changes: changes._replace(items=[]))
        return found

    monkeypatch.setattr(VirtualStore, "watch", watch_without_events)
    cancel_without_notice(site)
    site.run(1.0)
    monkeypatch.setattr(VirtualStore, "watch", watch)
    site.run(CANCEL_BOUND_S)
    started = sum(site.run_recorder.start_counts.values())
    site.run(5.0)
    assert sum(site.run_recorder.start_counts.values()) == started
