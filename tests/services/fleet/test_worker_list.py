"""The owner learns in time that a worker is draining, though a list of the workers gets no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import WorkerName
from jujubehall.platform.site_store import CALL_TIMEOUT_MS
from jujubehall.services.async_utils import sleep
from jujubehall.testing.virtual.fleet.site import VirtualDirectory

if TYPE_CHECKING:
    from typing import Any

    from jujubehall.testing.virtual.fleet.site import VirtualFleet

DRAIN_BOUND_S = 2.0


@pytest.mark.parametrize("moment_ms", range(0, 700, 100))
def test_draining_worker_is_known_in_time_though_the_next_list_is_lost(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch, moment_ms: int
) -> None:
    site.run(moment_ms / 1_000)
    assert site.owner is not None
    owner = site.owner.site_host.owner
    assert owner is not None
    reactor = site.owner.reactor
    list_workers = VirtualDirectory.list_workers
    lost: list[object] = []

    async def list_with_one_loss(directory: VirtualDirectory) -> Any:
        if lost:
            return await list_workers(directory)
        lost.append(directory)
        await sleep(reactor, CALL_TIMEOUT_MS)
        return Err(Failure(FailureKind.NO_ANSWER, "list", "store", "timed out"))

    monkeypatch.setattr(VirtualDirectory, "list_workers", list_with_one_loss)
    name = WorkerName("w0")
    site.workers[name].change_listing(is_draining=True)
    assert site.run_until(lambda: owner.fleet_state.workers[name].listed.is_draining, DRAIN_BOUND_S)
