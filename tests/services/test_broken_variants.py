"""Tests that the checks detect broken variants of the gang protocol (mutation tests)."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from jujubehall.core.jobs.gang import Gang
from jujubehall.core.jobs.gang import Part
from jujubehall.core.jobs.gang_messages import PartStep
from jujubehall.core.jobs.gang_timing import TASK_LEASE_MS
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import job_key
from jujubehall.services.gang_runner import GangRunner
from jujubehall.services.job_store import JobStore
from jujubehall.testing.randomised.gang_invariants import check_gang_invariants
from jujubehall.workers.messages import StartTask
from tests.services.job_site import find_job
from tests.services.job_site import gang_spec
from tests.services.job_site import make_site
from tests.services.job_site import owner_host
from tests.services.job_site import running_parts
from tests.services.job_site import submit

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.jobs.gang_messages import CommandPart
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.identifiers import Version


def renew_despite_missing_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Part, "is_accounted_for", lambda *_: True)


def start_before_all_parts_are_reserved(monkeypatch: pytest.MonkeyPatch) -> None:
    send_command = GangRunner._send_command

    async def send_and_start(self: GangRunner, action: CommandPart) -> None:
        await send_command(self, action)
        if action.step is PartStep.RESERVE:
            start = StartTask(self._epoch, action.key, "run:60000", TASK_LEASE_MS)
            await self._workers.send(action.worker, start)

    monkeypatch.setattr(GangRunner, "_send_command", send_and_start)


def requeue_while_parts_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gang, "_blocks_end", lambda *_: False)
    monkeypatch.setattr(Gang, "_check_invariants", lambda *_: None)


def write_without_version_check(monkeypatch: pytest.MonkeyPatch) -> None:
    put = JobStore.put

    async def put_with_current_version(self: JobStore, record: JobRecord, version: Version) -> Any:
        found = await self.read(job_key(record.id))
        return await put(self, record, found.map(lambda each: each[1]).unwrap_or(version))

    monkeypatch.setattr(JobStore, "put", put_with_current_version)


def lose_worker() -> None:
    site = make_site(workers=8, per_rack=8)
    job = submit(site, gang_spec(parts=4, accelerators=6))
    site.run_until(lambda: running_parts(site, job) == 4)
    next(worker for worker in site.workers.values() if worker.runs_by_task).fail()
    site.run_for(60_000)
    check_gang_invariants(site)


def lose_worker_during_placement() -> None:
    site = make_site()
    next(iter(site.workers.values())).fail()
    submit(site, gang_spec(parts=4, accelerators=6))
    site.run_for(10_000)
    check_gang_invariants(site)


def cancel_while_owner_records_end() -> None:
    site = make_site()
    job = submit(site, gang_spec(parts=2, accelerators=4))
    site.run_until(lambda: running_parts(site, job) == 2)
    owner = owner_host(site).entry_host
    running = owner.jobs.cached_job(job)
    assert running is not None
    version = owner.cache.version(job_key(job))
    site.run_coroutine(owner.jobs.cancel(job)).unwrap()
    ended = msgspec.structs.replace(running, state=JobState.SUCCEEDED)
    site.run_coroutine(owner.jobs._store.write(ended, version, lambda: True))
    site.run_for(1_000)
    assert find_job(site, job).state is JobState.CANCELLED


def partition_owner_from_workers() -> None:
    site = make_site(workers=8, per_rack=8)
    job = submit(site, gang_spec(parts=4, accelerators=6))
    site.run_until(lambda: running_parts(site, job) == 4)
    for worker in [name for name, each in site.workers.items() if each.runs_by_task][:2]:
        site.network.disconnect(owner_host(site).name, worker)
    site.run_for(60_000)
    assert running_parts(site, job) == 4
    check_gang_invariants(site)


BROKEN_VARIANTS = [
    (renew_despite_missing_parts, lose_worker),
    (start_before_all_parts_are_reserved, lose_worker_during_placement),
    (requeue_while_parts_run, partition_owner_from_workers),
    (write_without_version_check, cancel_while_owner_records_end),
]


@pytest.mark.parametrize(("apply_variant", "scenario"), BROKEN_VARIANTS)
def test_broken_variant_is_detected(
    apply_variant: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    apply_variant(monkeypatch)
    with pytest.raises(AssertionError):
        scenario()


@pytest.mark.parametrize(
    "scenario",
    [
        lose_worker,
        lose_worker_during_placement,
        partition_owner_from_workers,
        cancel_while_owner_records_end,
    ],
)
def test_scenario_passes_without_broken_variant(scenario: Callable[[], None]) -> None:
    scenario()
