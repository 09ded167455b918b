"""Runs a small site as operating-system processes on loopback, for the demo and tests."""

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

FIRST_CANDIDATE_PORT = 20_000
PORT_BLOCK_COUNT = 100
PORT_BLOCK_SIZE = 120
POLL_INTERVAL_MS = 50
START_TIMEOUT_MS = 30_000
STOP_TIMEOUT_MS = 20_000
STAND_IN_KINDS = ("platform", "workers", "endpoints")

_lock_by_first_port: dict[int, socket.socket] = {}


class ProcessExited(RuntimeError):
    """A process of a site exited before the site was ready."""

    def __init__(self, name: str, exit_code: int, output: str) -> None:
        super().__init__(f"{name} exited with code {exit_code}; its output:\n{output}")


class LocalSite:
    """Context manager that starts the processes of a site and kills them all on exit.

    With ``autostart=False`` the caller starts each process. ``limits`` are the HTTP limits of the
    entry hosts, ``memory_mb`` the memory that they take their machines to have.

    >>> with LocalSite(site_file) as site:
    ...     site.wait_until_ready()
    ...     site.kill("entry-0")
    """

    def __init__(
        self,
        site: SiteFile,
        *,
        autostart: bool = True,
        limits: HttpLimits | None = None,
        memory_mb: int | None = None,
    ) -> None:
        self.site = site
        self._autostart = autostart
        self._limits = limits or HttpLimits()
        self._memory_mb = memory_mb
        self._http = httpx.Client(trust_env=False, verify=False)
        self._directory = TemporaryDirectory(prefix="jujubehall-")
        # Written only once, because a stand-in may read the file while the next one is started.
        self._site_path = Path(self._directory.name) / "site.json"
        self._site_path.write_bytes(msgspec.json.encode(site))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def entry_hosts(self) -> list[str]:
        """The names of all entry hosts of the site, started or not."""
        return [f"entry-{number}" for number in range(self.site.entry_hosts)]

    @property
    def started_processes(self) -> list[str]:
        """The names of all processes started so far, including those that have exited."""
        return list(self._processes)

    @property
    def running_processes(self) -> list[str]:
        """The names of the running processes, entry hosts before the stand-ins they depend on."""
        names = [*self.entry_hosts, *reversed(STAND_IN_KINDS)]
        return [n for n in names if n in self._processes and self._processes[n].poll() is None]

    def base_url(self, entry_host: str) -> str:
        """Returns the base URL of an entry host."""
        number = int(entry_host.rsplit("-", 1)[1])
        return f"http://{LOOPBACK}:{self.site.entry_host_ports(number)[0]}"

    def read_log(self, name: str) -> str:
        """Returns the output (stdout and stderr) of a process so far."""
        return self._log_path(name).read_text()

    def pid(self, name: str) -> int:
        """Returns the process ID of a started process."""
        return self._processes[name].pid

    def start_stand_in(self, kind: str) -> None:
        """Starts all stand-ins of a kind (one of ``STAND_IN_KINDS``) in one process."""
        module = "jujubehall.testing.stand_in"
        self._start(kind, [sys.executable, "-m", module, kind, "--site", str(self._site_path)])

    def start_entry_host(self, name: str) -> None:
        """Starts one entry host."""
        settings_file = Path(self._directory.name) / f"{name}.json"
        settings_file.write_text(json.dumps(self.settings(name)))
        module = "jujubehall.daemon.main"
        self._start(name, [sys.executable, "-m", module, "--settings", str(settings_file)])

    def settings(self, name: str) -> dict[str, object]:
        """Returns the contents of the settings file of an entry host."""
        number = int(name.rsplit("-", 1)[1])
        http_port, mesh_port = self.site.entry_host_ports(number)
        settings = {
            "name": name,
            "zone": self.site.zone(number),
            "platform": self.site.platform_address,
            "listen": {"host": LOOPBACK, "http_port": http_port, "mesh_port": mesh_port},
            "limits": msgspec.to_builtins(self._limits),
        }
        return settings if self._memory_mb is None else settings | {"memory_mb": self._memory_mb}

    def wait_until_ready(self, names: list[str] | None = None) -> None:
        """Waits until the started stand-ins respond and the named entry hosts are ready.

        Without ``names`` it waits for all entry hosts. Raises ``TimeoutError`` if one of them takes
        longer than ``START_TIMEOUT_MS``, or ``ProcessExited`` if one of their processes has exited.
        """
        names = names or self.entry_hosts
        needed = [name for name in (*STAND_IN_KINDS, *names) if name in self._processes]
        for kind, address in self._last_address_by_kind().items():
            if kind in needed:
                responds = partial(self._responds, address)
                self._wait_while_running(needed, responds, f"{kind} stand-ins respond")
        for name in names:
            self._wait_while_running(needed, partial(self._is_ready, name), f"{name} is ready")

    def wait_until_workers_known(self) -> None:
        """Waits until every entry host lists all workers in the published zone summaries.

        Until then entry hosts refuse guarantees, because they check them against the published
        racks.
        """
        for name in self.entry_hosts:
            wait_until(partial(self._lists_all_workers, name), f"{name} lists all workers")

    def kill(self, name: str) -> None:
        """Kills a process (SIGKILL) to simulate a crash, and waits until it has exited."""
        self._processes[name].kill()
        self._processes[name].wait()

    def suspend(self, name: str) -> None:
        """Suspends a process (SIGSTOP) until ``resume`` is called."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process (SIGCONT)."""
        self._processes[name].send_signal(signal.SIGCONT)

    def stop(self, name: str) -> int:
        """Requests a graceful shutdown (SIGTERM), waits for it and returns the exit code."""
        self._processes[name].terminate()
        return self.wait_for_exit(name)

    def wait_for_exit(self, name: str) -> int:
        """Waits until a process has exited and returns its exit code.

        Raises ``subprocess.TimeoutExpired`` after ``STOP_TIMEOUT_MS``.
        """
        return self._processes[name].wait(STOP_TIMEOUT_MS / MS_PER_SECOND)

    def wait_until_entry_hosts_exited(self) -> None:
        """Waits without a time limit until all entry hosts have exited."""
        while set(self.running_processes) & set(self.entry_hosts):
            time.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)

    def __enter__(self) -> Self:
        if not self._autostart:
            return self
        for kind in STAND_IN_KINDS:
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
        self._directory.cleanup()
        release_port_block(self.site.first_port)

    def _start(self, name: str, command: list[str]) -> None:
        with self._log_path(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
            )

    def _wait_while_running(
        self, needed: list[str], condition: Callable[[], bool], description: str
    ) -> None:
        # The processes are checked after the condition, because another program may respond at the
        # address of one that couldn't bind it.
        def holds_while_running() -> bool:
            holds = condition()
            self._check_running(needed)
            return holds

        wait_until(holds_while_running, description)

    def _check_running(self, names: list[str]) -> None:
        for name in names:
            exit_code = self._processes[name].poll()
            if exit_code is not None:
                raise ProcessExited(name, exit_code, self.read_log(name))

    def _log_path(self, name: str) -> Path:
        return Path(self._directory.name) / f"{name}.log"

    def _last_address_by_kind(self) -> dict[str, str]:
        # One process serves all stand-ins of a kind and opens their ports in ascending order, so
        # the last address responds only after the others do.
        return {
            "platform": self.site.platform_address,
            "endpoints": self.site.endpoint_hosts()[-1].address,
            "workers": self.site.worker_hosts()[-1].address,
        }

    def _responds(self, address: str) -> bool:
        try:
            return bool(self._http.get(address).status_code)
        except httpx.TransportError:
            return False

    def _lists_all_workers(self, name: str) -> bool:
        zones = self._http.get(f"{self.base_url(name)}/v1/zones").json()
        return sum(len(zone["workers"]) for zone in zones) == self.site.workers

    def _is_ready(self, name: str) -> bool:
        try:
            return self._http.get(f"{self.base_url(name)}/readyz").status_code == 200
        except httpx.TransportError:
            return False


def wait_until(
    condition: Callable[[], bool], description: str, timeout_ms: int = START_TIMEOUT_MS
) -> None:
    """Polls ``condition`` until it is true; raises ``TimeoutError`` after ``timeout_ms``."""
    deadline_s = time.monotonic() + timeout_ms / MS_PER_SECOND
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"condition not met within {timeout_ms} ms: {description}")
        time.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)


def find_free_port_block() -> int:
    """Reserves a block of unused ports and returns the first port for a site.

    The first port of the block is its lock: it stays bound until the site is closed, or this
    process ends in any way, so that no other search chooses the block before the processes of the
    site have bound their ports. The ``PORT_BLOCK_SIZE - 1`` ports after it are for the site.

    The search starts at a block derived from the process ID, so that parallel test processes rarely
    compete. Raises ``OSError`` if every block has a port in use.
    """
    for attempt in range(PORT_BLOCK_COUNT):
        block = (os.getpid() + attempt) % PORT_BLOCK_COUNT
        lock_port = FIRST_CANDIDATE_PORT + block * PORT_BLOCK_SIZE
        lock = _bind_lock(lock_port)
        if lock is None:
            continue
        if all(_is_unused(lock_port + offset) for offset in range(1, PORT_BLOCK_SIZE)):
            _lock_by_first_port[lock_port + 1] = lock
            return lock_port + 1
        lock.close()
    raise OSError("every block of candidate ports has a port in use")


def release_port_block(first_port: int) -> None:
    """Ends the reservation of a block, if this process has reserved it."""
    lock = _lock_by_first_port.pop(first_port, None)
    if lock is not None:
        lock.close()


def _bind_lock(port: int) -> socket.socket | None:
    # Without SO_REUSEADDR, unlike the probes: only one process can bind the port.
    lock = socket.socket()
    try:
        lock.bind((LOOPBACK, port))
    except OSError:
        lock.close()
        return None
    return lock


def _is_unused(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
