"""Tests takeovers by an entry host that can't load the records although it can renew its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.admission import Outcome
from jujubehall.services.fleet.records import INTAKE_PREFIX
from jujubehall.services.fleet.records import WORKERS_KEY
from jujubehall.services.fleet.site_owner import MAX_LOAD_MS
from jujubehall.testing.virtual.fleet.store import CALL_TIMEOUT_MS
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from jujubehall.testing.virtual.fleet.store import VirtualStore
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    import pytest

    from jujubehall.testing.virtual.fleet.site import VirtualFleet
    from jujubehall.testing.virtual.fleet.site import VirtualHost

JOB = JobId("0000000000000001")
SHORT_TASK = JobRequest("spec", (step(expected_ms=500),))
MAX_TIME_WITHOUT_OWNER_S = 5.0
SLOW_LIST_MS = 5_000
SLOW_WATCH_MS = 900
"""Times that the records and a second's changes take on a slow link."""

CANCEL_S = 3.0


def is_loaded(host: VirtualHost) -> bool:
    owner = host.site_host.owner
    return owner is not None and owner.is_loaded


def elect_host_that_cannot_list(site: VirtualFleet) -> tuple[VirtualHost, VirtualHost]:
    """Returns the elected host and another one, which can list."""
    former = site.owner
    assert former is not None
    candidate, other = (host for host in site.hosts if host is not former)
    candidate.store.are_lists_unanswered = True
    other.store.fault_mode = StoreFaultMode.UNAVAILABLE
    site.kill(former)
    assert site.run_until(lambda: candidate.site_host.owner is not None, 3.0)
    other.store.fault_mode = StoreFaultMode.NONE
    return candidate, other


def test_owner_that_cannot_load_the_records_gives_way_to_another_host(site: VirtualFleet) -> None:
    assert site.submit(JOB, SHORT_TASK, host=1).outcome.name == "ACCEPTED"
    candidate, other = elect_host_that_cannot_list(site)
    assert site.run_until(lambda: is_loaded(other), MAX_TIME_WITHOUT_OWNER_S)
    assert candidate.site_host.owner is None
    site.run(3.0)
    assert site.job_state(JOB, host=site.hosts.index(other)).state is JobState.SUCCEEDED


def test_owner_that_cannot_load_the_registered_workers_gives_way_to_another_host(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    get = VirtualStore.get
    candidates: list[VirtualStore] = []

    async def get_or_time_out(store: VirtualStore, key: str) -> Any:
        if key == WORKERS_KEY and store in candidates:
            await sleep(candidate.reactor, CALL_TIMEOUT_MS)
            return Err(Failure(FailureKind.NO_ANSWER, "get", "store", "timed out"))
        return await get(store, key)

    monkeypatch.setattr(VirtualStore, "get", get_or_time_out)
    former = site.owner
    assert former is not None
    candidate, other = (host for host in site.hosts if host is not former)
    candidates.append(candidate.store)
    other.store.fault_mode = StoreFaultMode.UNAVAILABLE
    site.kill(former)
    assert site.run_until(lambda: candidate.site_host.owner is not None, 3.0)
    other.store.fault_mode = StoreFaultMode.NONE
    assert site.run_until(lambda: is_loaded(other), MAX_TIME_WITHOUT_OWNER_S)


def test_owner_that_is_still_loading_after_a_minute_gives_way_to_another_host(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    candidate, other = elect_host_that_cannot_list(site)
    endless: Deferred[None] = Deferred()
    monkeypatch.setattr(candidate.store, "list_items", lambda prefix: endless)
    site.run(2.0)
    assert candidate.site_host.owner is not None
    assert site.run_until(lambda: is_loaded(other), to_seconds(MAX_LOAD_MS))


def test_only_remaining_host_keeps_trying_to_load_the_records(site: VirtualFleet) -> None:
    candidate, other = elect_host_that_cannot_list(site)
    site.kill(other)
    site.run(8.0)
    candidate.store.are_lists_unanswered = False
    assert site.run_until(lambda: is_loaded(candidate), MAX_TIME_WITHOUT_OWNER_S)


# Guards against UNASKED: a new owner decided from a list that had taken longer than the time limit
# of a cancellation, before it had read the changes since.
def test_new_owner_starts_nothing_that_was_cancelled_while_it_loaded_the_records(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    former = site.owner
    assert former is not None
    candidate, other = (host for host in site.hosts if host is not former)
    slow_down(candidate.store, monkeypatch)
    number = site.hosts.index(other)
    site.kill(former)
    assert site.submit(JOB, SHORT_TASK, host=number).outcome is Outcome.ACCEPTED
    other.store.fault_mode = StoreFaultMode.UNAVAILABLE
    assert site.run_until(lambda: candidate.site_host.owner is not None, 3.0)
    other.store.fault_mode = StoreFaultMode.NONE
    site.run(1.0)
    assert site.cancel(JOB, host=number).outcome is Outcome.ACCEPTED
    cancelled_s = site.time.seconds()
    assert site.run_until(lambda: is_loaded(candidate), SLOW_LIST_MS / 1_000 + 1.0)
    assert site.time.seconds() - cancelled_s > CANCEL_S
    site.run(5.0)
    assert site.run_recorder.start_counts == {}


def slow_down(store: VirtualStore, monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets the lists and the changes of records arrive late; all other calls are answered soon."""
    list_items, watch = store.list_items, store.watch

    async def list_slowly(prefix: str) -> Any:
        found = await list_items(prefix)
        await sleep(store._reactor, SLOW_LIST_MS if prefix == INTAKE_PREFIX else 0)
        return found

    async def watch_slowly(prefix: str, *rest: Any) -> Any:
        changes = await watch(prefix, *rest)
        await sleep(store._reactor, SLOW_WATCH_MS if prefix == INTAKE_PREFIX else 0)
        return changes

    monkeypatch.setattr(store, "list_items", list_slowly)
    monkeypatch.setattr(store, "watch", watch_slowly)
