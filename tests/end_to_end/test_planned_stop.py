"""A planned stop cuts no request in progress, whoever owns the request's shard."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import httpx
import pytest

from jujubehall.testing.local_site import wait_until
from tests.end_to_end.calls import owners
from tests.end_to_end.calls import runs
from tests.end_to_end.calls import set_run_time
from tests.end_to_end.calls import slot_hold
from tests.end_to_end.calls import warm_up

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite

RUN_MS = 1_500
HOLDS = [f"hold-{number}" for number in range(6)]


@pytest.mark.parametrize("stopped", ["entry-0", "entry-2"])
def test_sigterm_cuts_no_request_in_progress(site: LocalSite, stopped: str) -> None:
    # Some of the holds are owned by the stopped entry host, others are passed on by it.
    warm_up(site, stopped)
    set_run_time(site, RUN_MS)
    with ThreadPoolExecutor(len(HOLDS)) as callers:
        answers = [callers.submit(slot_hold, site, stopped, hold) for hold in HOLDS]
        wait_until(lambda: set(HOLDS) <= set(runs(site)), "every hold runs")
        assert site.stop(stopped) == 0
        assert [answer.result().json()["outcome"] for answer in answers] == ["completed"] * 6
    assert [runs(site)[hold] for hold in HOLDS] == [1] * 6


def test_a_stopping_entry_host_refuses_new_requests_as_not_run(site: LocalSite) -> None:
    warm_up(site, "entry-0")
    set_run_time(site, RUN_MS)
    with ThreadPoolExecutor(1) as callers:
        kept = callers.submit(slot_hold, site, "entry-0", "kept")
        wait_until(lambda: runs(site)["kept"] == 1, "the hold runs")
        drained = httpx.post(f"{site.address('entry-0')}/v1/entry-hosts/entry-0/drain")
        assert drained.status_code == 202
        ready = httpx.get(f"{site.address('entry-0')}/readyz")
        assert ready.status_code == 503
        wait_until(lambda: _refused(site), "new requests are refused")
        assert kept.result().json()["outcome"] == "completed"
    assert site.wait_for_exit("entry-0") == 0
    assert not [name for name in runs(site) if name.startswith("late-")]


def test_an_entry_host_drains_only_itself(site: LocalSite) -> None:
    refused = httpx.post(f"{site.address('entry-0')}/v1/entry-hosts/entry-1/drain")
    assert refused.status_code == 409
    assert set(owners(site, "entry-0")) == {"entry-0", "entry-1", "entry-2"}


def _refused(site: LocalSite) -> bool:
    answer = slot_hold(site, "entry-0", "late-1")
    assert answer.status_code == 503
    assert answer.json()["outcome"] == "not-run"
    assert int(answer.headers["Retry-After"]) >= 1
    return bool(answer.json()["step"] == "admit")
