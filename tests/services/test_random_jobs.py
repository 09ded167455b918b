"""Seeded random runs of jobs under failures, with the invariants checked at the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from jujubehall.core.jobs.gang import Gang
from jujubehall.core.jobs.gang import Part
from jujubehall.core.jobs.gang_messages import PartStep
from jujubehall.core.jobs.gang_timing import TASK_LEASE_MS
from jujubehall.services.gang_runner import GangRunner
from jujubehall.services.job_store import JobStore
from jujubehall.workers.messages import StartTask
from tests.services.random_jobs import RandomJobs

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.jobs.gang_messages import CommandPart
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.identifiers import Version

SEEDS = range(4)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_promises_hold_under_random_failures(seed: int) -> None:
    RandomJobs(seed).run()


def renew_without_all_parts(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Part, "is_known", lambda *_: True)


def start_before_all_are_reserved(patch: pytest.MonkeyPatch) -> None:
    command = GangRunner._command

    async def command_and_start(self: GangRunner, action: CommandPart) -> None:
        await command(self, action)
        if action.step is PartStep.RESERVE:
            start = StartTask(self._epoch, action.key, "run:60000", TASK_LEASE_MS)
            await self._workers.send(action.worker, start)

    patch.setattr(GangRunner, "_command", command_and_start)


def queue_again_while_parts_run(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Gang, "_blocks_the_end", lambda *_: False)
    patch.setattr(Gang, "_check_invariants", lambda *_: None)


def write_without_the_version(patch: pytest.MonkeyPatch) -> None:
    put = JobStore.put

    async def put_anyway(self: JobStore, record: JobRecord, version: Version) -> Any:
        found = await self.read(f"state/jobs/{record.id}")
        return await put(self, record, found.map(lambda each: each[1]).unwrap_or(version))

    patch.setattr(JobStore, "put", put_anyway)


@pytest.mark.parametrize(
    "break_it",
    [
        renew_without_all_parts,
        start_before_all_are_reserved,
        queue_again_while_parts_run,
        write_without_the_version,
    ],
)
def test_broken_variants_are_found(
    break_it: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    break_it(monkeypatch)
    assert any(is_found(seed) for seed in SEEDS)


def is_found(seed: int) -> bool:
    try:
        RandomJobs(seed).run()
    except AssertionError:
        return True
    return False
