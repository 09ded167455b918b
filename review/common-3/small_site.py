"""Starts and ends the processes of a small site for one case, and calls it as a client would."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

from pathlib import Path
from typing import Any
from typing import Callable

ROOT = Path(__file__).resolve().parents[2]
COMMON = Path(__file__).resolve().parent
FRONT_PORT, READINESS_PORT, MESH_PORT = 18_621, 18_623, 18_640
"""The ports of the entry hosts, each of which has a loopback address of its own."""

HOST_HEADER = "desk.example"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-0",
            "host": HOST_HEADER,
            "prefix": "/urgent/",
            "service": "desk",
            "routeType": "unsafe",
            "timeoutMs": 3000,
            "sloMs": 250,
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 1.5,
        },
        {
            "name": "r-1",
            "host": HOST_HEADER,
            "prefix": "/desk/",
            "service": "desk",
            "routeType": "unsafe",
            "timeoutMs": 3000,
            "sloMs": 1000,
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 3.0,
        },
    ],
    "services": [{"name": "desk", "healthPath": "/health", "enforcesCapacity": False}],
    "tenants": [
        {"name": "studio", "apiKeys": ["k1"], "guaranteed": {"gpu": 8}},
        {"name": "producer", "apiKeys": ["k2"], "guaranteed": {"gpu": 8}},
    ],
}


class CannotRunError(Exception):
    """The case could not be set up."""


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Site:
    """A store, minions and entry hosts as processes on loopback addresses."""

    def __init__(self, folder: Path, subnet: int) -> None:
        self.folder = folder
        self.subnet = subnet
        self.record = folder / "record.jsonl"
        self.is_closed = False
        self.processes: list[subprocess.Popen[bytes]] = []
        self.minions: dict[str, subprocess.Popen[bytes]] = {}
        self.minion_ports: dict[str, int] = {}
        self.fronts: dict[str, subprocess.Popen[bytes]] = {}
        self.store = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.cloud_address = ""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["entry-host"]["run"].split()
        if not (ROOT / "target" / "deps" / "jujubehall").is_dir():
            raise CannotRunError("target/deps is missing: run the build of deploy/system.toml")

    def ip(self, number: int) -> str:
        return f"127.1.{self.subnet}.{20 + number}"

    def spawn(
        self, command: list[str], log: str, env: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        if self.is_closed:
            raise CannotRunError("the site has ended")
        with (self.folder / f"{log}.log").open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env or {"PATH": os.environ.get("PATH", "")},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes.append(process)
        return process

    def start_store(self) -> None:
        host, _, port = self.store.partition(":")
        self.spawn([sys.executable, str(COMMON / "store.py"), host, port], "store")
        wait_until(lambda: self.put("op/config", CONFIGURATION), "the store")

    def put(self, key: str, value: dict[str, Any]) -> bool:
        url = f"http://{self.store}/stand-in/{key.replace('/', '%2F')}"
        call = urllib.request.Request(url, json.dumps(value).encode(), method="PUT")
        try:
            urllib.request.urlopen(call, timeout=2).read()
        except OSError:
            return False
        return True

    def delete(self, key: str) -> None:
        """Removes a key, as the platform does for a minion that has left."""
        url = f"http://{self.store}/stand-in/{key.replace('/', '%2F')}"
        urllib.request.urlopen(urllib.request.Request(url, method="DELETE"), timeout=2).read()

    def start_minion(self, name: str, rack: str = "r0") -> None:
        """Starts a minion, or a new life of one under the id and address that it had."""
        port = self.minion_ports.setdefault(name, free_port("127.0.0.1"))
        self.minions[name] = self.spawn(
            [
                sys.executable,
                str(COMMON / "minion.py"),
                name,
                "127.0.0.1",
                str(port),
                self.store,
                str(self.record),
                rack,
            ],
            name,
        )

    def settings(self, number: int) -> Path:
        """Writes the settings file of an entry host in the format of DEPLOY.md."""
        ip = self.ip(number)
        path = self.folder / f"front-{number}.toml"
        path.write_text(f"""nodeName = "front-zone-a-{number}"
role = "entry-host"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
portRange = [{MESH_PORT}, {MESH_PORT + 15}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:{FRONT_PORT}"
readiness = "{ip}:{READINESS_PORT}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
maxHoldMs = 6000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
status_s = 120
fencingEnforced = true
leaseMs = 3000
[platform]
address = "{self.store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloud]
address = "{self.cloud_address}"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
""")
        return path

    def start_front(self, number: int) -> subprocess.Popen[bytes]:
        """Starts an entry host with the command of the deploy file."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "JUJUBEHALL_BOOT": str(self.settings(number)),
        }
        command = [sys.executable if self.command[0] == "python3" else self.command[0]]
        process = self.spawn([*command, *self.command[1:]], f"front-{number}", env)
        self.fronts[f"front-{number}"] = process
        return process

    def is_ready(self, number: int) -> bool:
        """Returns whether an entry host is ready; raises ``CannotRunError`` if it has ended."""
        if self.fronts[f"front-{number}"].poll() is not None:
            raise CannotRunError(f"entry host {number} has ended at its start, see its log")
        try:
            return self.request(number, "GET", "/ready", port=READINESS_PORT)[0] == 200
        except OSError:
            return False

    def request(
        self,
        number: int,
        method: str,
        path: str,
        body: Any = None,
        port: int = FRONT_PORT,
        key: str = "k1",
    ) -> tuple[int, dict[str, Any]]:
        """Sends one call of a client and returns the status and the body of the answer."""
        connection = http.client.HTTPConnection(self.ip(number), port, timeout=3.5)
        headers = {
            "Host": HOST_HEADER,
            "Authorization": f"Token {key}",
            "Deadline-Ms": "3000",
            "Content-Type": "application/json",
        }
        try:
            content = None if body is None else json.dumps(body).encode()
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else {}
        finally:
            connection.close()

    def memory_mb(self, number: int) -> float:
        """Returns the resident memory of an entry host; 0 if it has ended."""
        try:
            pages = Path(f"/proc/{self.fronts[f'front-{number}'].pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def events(self) -> list[dict[str, Any]]:
        """Returns what the minions have recorded so far."""
        if not self.record.exists():
            return []
        return [json.loads(line) for line in self.record.read_text().splitlines() if line]

    def close(self) -> None:
        """Ends all processes that this site has started."""
        self.is_closed = True
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()


def wait_until(condition: Any, what: str, timeout_s: float = 20.0) -> Any:
    """Returns the first true value of ``condition``; raises ``CannotRunError`` after the timeout."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CannotRunError(f"{what}: not within {timeout_s} s")


class Record:
    """What was sent, answered and run in a case, for ``record.txt``."""

    def __init__(self) -> None:
        self.began = time.time()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line with the time since the case began."""
        self.lines.append(f"{time.time() - self.began:7.2f} s  {text}")


def run_case(
    here: Path,
    subnet: int,
    run: Callable[[Site, Record], bool],
    log_words: tuple[str, ...] = (),
    adds_to_record: bool = False,
) -> int:
    """Runs a case in a temporary folder, writes its record and returns its exit code.

    ``run`` returns whether the rule was broken. Lines of the entry hosts' logs that contain one of
    ``log_words`` are added to the record. With ``adds_to_record``, the record is added to that of the
    part of the case that ran before.
    """
    record = Record()
    broken: bool | None = None
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as folder:
        try:
            site = Site(Path(folder), subnet)
            try:
                broken = run(site, record)
            finally:
                site.close()
                for each in site.events():
                    if each["event"] != "up":
                        at_s = each.pop("at") / 1000 - record.began
                        record.lines.append(f"{at_s:7.2f} s  minion {each.pop('minion')}: {each}")
                for log in sorted(Path(folder).glob("front-*.log")):
                    for line in log.read_text().splitlines():
                        if any(word in line for word in log_words):
                            record.lines.append(f"log of {log.stem}: {line}")
        except (CannotRunError, OSError, ValueError) as error:
            record.note(f"the case could not run: {error}")
    with (here / "record.txt").open("a" if adds_to_record else "w") as file:
        file.write("\n".join(record.lines) + "\n")
    print("\n".join(record.lines))
    return 2 if broken is None else int(broken)
