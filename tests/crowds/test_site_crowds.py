"""A crowd of misbehaving clients doesn't end an entry host or exhaust its machine."""

from __future__ import annotations

import json
import signal

from typing import TYPE_CHECKING

import pytest

from tests.crowds.crowd import Crowd
from tests.crowds.misbehaviour import BODY_BYTES
from tests.crowds.misbehaviour import Misbehaviour
from tests.crowds.misbehaviour import kinds
from tests.crowds.misbehaviour import submissions
from tests.crowds.ordinary_caller import JOB_PATH
from tests.crowds.ordinary_caller import is_accepted
from tests.crowds.small_machine import LIMITS
from tests.crowds.small_machine import check_limits
from tests.crowds.small_machine import usage_of
from tests.platform.adapter.entry_host_process import JOB
from tests.platform.adapter.entry_host_process import METRICS_PORT
from tests.platform.adapter.entry_host_process import PORT
from tests.platform.adapter.entry_host_process import READINESS_PORT
from tests.platform.adapter.entry_host_process import EntryHostProcess
from tests.platform.adapter.entry_host_process import FakePlatformProcess
from tests.platform.adapter.entry_host_process import start_fake_platform
from tests.platform.adapter.entry_host_process import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.crowd

ELECTED = "elected owner"


@pytest.fixture
def platform() -> Iterator[FakePlatformProcess]:
    with start_fake_platform() as platform:
        yield platform


@pytest.fixture
def hosts(platform: FakePlatformProcess, tmp_path: Path) -> Iterator[list[EntryHostProcess]]:
    started: list[EntryHostProcess] = []
    try:
        started += [EntryHostProcess(tmp_path, each, platform.store, LIMITS) for each in range(2)]
        wait_until(lambda: all(each.is_ready() for each in started))
        yield started
    finally:
        for each in started:
            each.kill()


@pytest.fixture
def host(platform: FakePlatformProcess, tmp_path: Path) -> Iterator[EntryHostProcess]:
    process = EntryHostProcess(tmp_path, 0, platform.store, LIMITS)
    try:
        wait_until(process.is_ready)
        yield process
    finally:
        process.kill()


@pytest.mark.parametrize("kind", kinds(JOB_PATH), ids=lambda kind: kind.name)
def test_crowd_of_callers(host: EntryHostProcess, kind: Misbehaviour) -> None:
    check_crowd(host, PORT, kind)


@pytest.mark.parametrize("kind", kinds("/ready"), ids=lambda kind: kind.name)
def test_crowd_at_the_readiness_check(host: EntryHostProcess, kind: Misbehaviour) -> None:
    check_crowd(host, READINESS_PORT, kind)


@pytest.mark.parametrize("kind", kinds("/metrics"), ids=lambda kind: kind.name)
def test_crowd_at_the_metrics(host: EntryHostProcess, kind: Misbehaviour) -> None:
    check_crowd(host, METRICS_PORT, kind)


@pytest.mark.parametrize("kind", submissions(JOB_PATH), ids=lambda kind: kind.name)
def test_crowd_of_submissions_while_the_store_hangs(
    host: EntryHostProcess, platform: FakePlatformProcess, kind: Misbehaviour
) -> None:
    platform.process.send_signal(signal.SIGSTOP)
    check_crowd(host, PORT, kind, lambda: platform.process.send_signal(signal.SIGCONT))


@pytest.mark.parametrize("name", ["whole-bodies", "small-chunks", "unread-answers"])
def test_crowd_does_not_hold_up_peers(hosts: list[EntryHostProcess], name: str) -> None:
    wait_until(lambda: any(ELECTED in each.log for each in hosts))
    owner, other = hosts if ELECTED in hosts[0].log else hosts[::-1]
    (kind,) = (each for each in kinds(JOB_PATH) if each.name == name)
    check_crowd(owner, PORT, kind, lambda: wait_until(lambda: is_accepted(other)))
    wait_until(lambda: other.call("GET", JOB_PATH).json().get("state") == "succeeded")
    assert ELECTED not in other.log


def test_single_caller_may_use_all_limits(host: EntryHostProcess) -> None:
    job = json.dumps({**JOB, "spec": "x" * 4_000}).encode()
    job += b" " * (BODY_BYTES - len(job))
    chunks = [job[start : start + 1] for start in range(len(job))]
    headers = {f"X-{number}": "y" * 100 for number in range(80)}
    path = f"{JOB_PATH}?{'q' * 4_000}"
    assert host.call("POST", path, content=job, headers=headers).status_code == 200
    assert host.call("POST", path, content=iter(chunks), headers=headers).status_code == 200


def check_crowd(
    host: EntryHostProcess,
    port: int,
    kind: Misbehaviour,
    after_press: Callable[[], object] = lambda: None,
) -> None:
    """Checks that the host stays within its limits and serves a caller beside the crowd."""
    usage = usage_of(host)
    with Crowd((host.ip, port), kind, usage.sample) as crowd:
        crowd.press()
        after_press()
        assert host.process.poll() is None, host.log[-2_000:]
        wait_until(lambda: is_accepted(host))
        peak = usage.peak()
    assert host.process.poll() is None, host.log[-2_000:]
    check_limits(peak)
