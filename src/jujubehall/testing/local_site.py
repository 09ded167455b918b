"""Starts a small site as real processes on loopback, for the demo and for end-to-end tests."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time

from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING
from typing import Self

import httpx
import msgspec

from jujubehall.clock import MS_PER_SECOND
from jujubehall.http.limits import HttpLimits
from jujubehall.testing.site_file import LOOPBACK
from jujubehall.testing.site_file import SiteFile

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

FIRST_TRIED_PORT = 20_000
PORT_BLOCKS = 100
PORTS_IN_BLOCK = 120
POLL_INTERVAL_MS = 50
START_TIMEOUT_MS = 30_000
STOP_TIMEOUT_MS = 20_000
STAND_INS = ("platform", "workers", "endpoints")


class LocalSite:
    """A running site; leaving the context stops every process that it started.

    Without ``autostart``, the processes are started one by one by the caller.

    >>> with LocalSite(site_file) as site:
    ...     site.wait_until_ready()
    ...     site.kill("entry-0")
    """

    def __init__(
        self, site: SiteFile, *, autostart: bool = True, limits: HttpLimits | None = None
    ) -> None:
        self.site = site
        self._autostart = autostart
        self._limits = limits or HttpLimits()
        self._http = httpx.Client(trust_env=False, verify=False)
        self._folder = TemporaryDirectory(prefix="jujubehall-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def entry_hosts(self) -> list[str]:
        """The names of the entry hosts."""
        return [f"entry-{number}" for number in range(self.site.entry_hosts)]

    @property
    def started(self) -> list[str]:
        """The names of the processes that were started, running or not."""
        return list(self._processes)

    @property
    def running(self) -> list[str]:
        """The names of the running processes, the entry hosts before what they rely on."""
        names = [*self.entry_hosts, *reversed(STAND_INS)]
        return [n for n in names if n in self._processes and self._processes[n].poll() is None]

    def address(self, entry_host: str) -> str:
        """The HTTP base address of an entry host."""
        number = int(entry_host.rsplit("-", 1)[1])
        return f"http://{LOOPBACK}:{self.site.entry_host_ports(number)[0]}"

    def log(self, name: str) -> str:
        """What a process has written so far."""
        return self._log_path(name).read_text()

    def pid(self, name: str) -> int:
        """The process id of a running process."""
        return self._processes[name].pid

    def start_stand_in(self, kind: str) -> None:
        """Starts the stand-ins of one kind, in one process."""
        site_file = Path(self._folder.name) / "site.json"
        site_file.write_bytes(msgspec.json.encode(self.site))
        module = "jujubehall.testing.stand_in"
        self._start(kind, [sys.executable, "-m", module, kind, "--site", str(site_file)])

    def start_entry_host(self, name: str) -> None:
        """Starts one entry host."""
        settings_file = Path(self._folder.name) / f"{name}.json"
        settings_file.write_text(json.dumps(self.settings(name)))
        module = "jujubehall.daemon.main"
        self._start(name, [sys.executable, "-m", module, "--settings", str(settings_file)])

    def settings(self, name: str) -> dict[str, object]:
        """The settings of one entry host."""
        number = int(name.rsplit("-", 1)[1])
        http_port, mesh_port = self.site.entry_host_ports(number)
        return {
            "name": name,
            "zone": self.site.zone(number),
            "platform": self.site.platform_address,
            "listen": {"host": LOOPBACK, "http_port": http_port, "mesh_port": mesh_port},
            "limits": msgspec.to_builtins(self._limits),
        }

    def wait_until_ready(self, names: list[str] | None = None) -> None:
        """Waits for the started stand-ins, and for the named or all entry hosts to be ready."""
        for kind, address in self._last_addresses().items():
            if kind in self._processes:
                wait_until(partial(self._answers, address), f"the {kind} answer")
        for name in names or self.entry_hosts:
            wait_until(partial(self._is_ready, name), f"{name} is ready")

    def wait_until_published(self) -> None:
        """Waits until every entry host knows all workers from the zones' published summaries.

        Guarantees are refused before, since they are checked against the published racks.
        """
        for name in self.entry_hosts:
            wait_until(partial(self._knows_all_workers, name), f"{name} knows all workers")

    def kill(self, name: str) -> None:
        """Ends a process at once, as a failure does."""
        self._processes[name].kill()
        self._processes[name].wait()

    def freeze(self, name: str) -> None:
        """Stops a process from running until it is thawed."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Lets a frozen process run again."""
        self._processes[name].send_signal(signal.SIGCONT)

    def stop(self, name: str) -> int:
        """Stops a process in the planned way and returns its exit code."""
        self._processes[name].terminate()
        return self.wait_for_exit(name)

    def wait_for_exit(self, name: str) -> int:
        """Waits until a process has ended and returns its exit code."""
        return self._processes[name].wait(STOP_TIMEOUT_MS / MS_PER_SECOND)

    def wait_until_stopped(self) -> None:
        """Waits until the last entry host has ended by itself."""
        while set(self.running) & set(self.entry_hosts):
            time.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)

    def __enter__(self) -> Self:
        if not self._autostart:
            return self
        for kind in STAND_INS:
            self.start_stand_in(kind)
        for name in self.entry_hosts:
            self.start_entry_host(name)
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self._http.close()
        self._folder.cleanup()

    def _start(self, name: str, command: list[str]) -> None:
        with self._log_path(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
            )

    def _log_path(self, name: str) -> Path:
        return Path(self._folder.name) / f"{name}.log"

    def _last_addresses(self) -> dict[str, str]:
        # The stand-ins of a kind are one process, which opens its ports in this order.
        return {
            "platform": self.site.platform_address,
            "endpoints": self.site.endpoint_hosts()[-1].address,
            "workers": self.site.worker_hosts()[-1].address,
        }

    def _answers(self, address: str) -> bool:
        try:
            return bool(self._http.get(address).status_code)
        except httpx.TransportError:
            return False

    def _knows_all_workers(self, name: str) -> bool:
        zones = self._http.get(f"{self.address(name)}/v1/zones").json()
        return sum(len(zone["workers"]) for zone in zones) == self.site.workers

    def _is_ready(self, name: str) -> bool:
        try:
            return self._http.get(f"{self.address(name)}/readyz").status_code == 200
        except httpx.TransportError:
            return False


def wait_until(
    condition: Callable[[], bool], what: str, timeout_ms: int = START_TIMEOUT_MS
) -> None:
    """Polls ``condition`` until it holds; raises ``TimeoutError`` if it takes too long."""
    give_up_at = time.monotonic() + timeout_ms / MS_PER_SECOND
    while not condition():
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"not within {timeout_ms} ms: {what}")
        time.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)


def free_first_port() -> int:
    """The first port of a block that nobody listens on."""
    for attempt in range(PORT_BLOCKS):
        block = (os.getpid() + attempt) % PORT_BLOCKS
        first = FIRST_TRIED_PORT + block * PORTS_IN_BLOCK
        if all(_is_free(first + offset) for offset in range(PORTS_IN_BLOCK)):
            return first
    raise OSError("no free block of ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
