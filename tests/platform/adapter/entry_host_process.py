"""Runs an entry host of the operators' platform as a process on its own loopback address."""

from __future__ import annotations

import base64
import os
import subprocess
import sys
import time

from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import httpx
import msgspec

from jujubehall.core.ownership.record import Member
from jujubehall.identifiers import EntryHostName
from jujubehall.services.fleet.records import host_key

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

PORT = 18_521
READINESS_PORT = 18_523
MESH_PORT = 18_530
METRICS_PORT = 9464
HEADERS = {"Host": "desk.example", "Authorization": "Token k1", "Deadline-Ms": "3000"}
JOB = {"spec": "x", "steps": [{"count": 3, "cpu": 1000, "memMb": 1000, "gpu": 1}]}
TIMEOUT_S = 20.0


LIMITS = """cpuShare = 0.5
cores = 3.0
linkMbps = 200.0
"""


class EntryHostProcess:
    """An entry host daemon that listens on its own loopback address.

    ``limits`` is the content of the table of that name in the settings file.
    """

    def __init__(self, directory: Path, number: int, store: str, limits: str = LIMITS) -> None:
        # Parallel test workers need separate addresses, because the metrics port is fixed.
        xdist_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
        self.ip = f"127.1.{xdist_worker}.{20 + number}"
        self.name = EntryHostName(f"front-{number}")
        self.store = store
        self._log = (directory / f"{number}.log").open("w+")
        settings = directory / f"{number}.toml"
        settings.write_text(f"""nodeName = "{self.name}"
ip = "{self.ip}"
zone = "a"
portRange = [{MESH_PORT}, {MESH_PORT + 10}]
somethingNew = 1
[listen]
front = "{self.ip}:{PORT}"
readiness = "{self.ip}:{READINESS_PORT}"
[platform]
address = "{store}"
[bounds]
maxHoldMs = 6000
revokeMs = 5000
strictRevoke = true
graceS = 6
status_s = 120
[limits]
{limits}""")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "jujubehall.daemon.site_main"],
            env={"JUJUBEHALL_BOOT": str(settings), "PATH": ""},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def log(self) -> str:
        self._log.flush()
        self._log.seek(0)
        return self._log.read()

    def call(self, method: str, path: str, **options: Any) -> httpx.Response:
        headers = HEADERS | options.pop("headers", {})
        return httpx.request(
            method, f"http://{self.ip}:{PORT}{path}", headers=headers, timeout=5.0, **options
        )

    def is_ready(self) -> bool:
        try:
            return httpx.get(f"http://{self.ip}:{READINESS_PORT}/ready").status_code == 200
        except httpx.TransportError:
            return False

    def registration(self) -> Member:
        item = httpx.get(f"http://{self.store}/kv-key", params={"key": host_key(self.name)}).json()
        return msgspec.json.decode(base64.b64decode(item["value"]), type=Member)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


def wait_until(condition: Any) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met before the timeout"
        time.sleep(0.02)


class FakePlatformProcess(NamedTuple):
    """The fake platform; ``store`` is the address of its store."""

    store: str
    process: subprocess.Popen[str]


@contextmanager
def start_fake_platform() -> Iterator[FakePlatformProcess]:
    """Runs the fake platform in a process of its own."""
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.platform.adapter.stand_in"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        yield FakePlatformProcess(process.stdout.readline().strip(), process)
    finally:
        process.kill()
        process.wait()
