"""Stand-in of a minion, as PROTOCOL.md describes it, in a process of its own.

Run as ``python3 minion.py ID HOST PORT STORE_ADDRESS RECORD RACK``. It registers itself under its id,
answers the calls of "Running tasks" and appends what it starts and ends to RECORD as lines of JSON.
A task works as many milliseconds as the number at the end of its ``spec`` says, "forever" if none.
On SIGUSR1 the minion reports that it is draining and goes on serving for ``DRAIN_SERVES_S``.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
import urllib.request

from typing import Any

from http_server import serve

MAX_HOLD_MS = 6_000
STOP_MS = 50
HEARTBEAT_S = 1.5
DRAIN_SERVES_S = 8.0
"""At least drainMs, and "a little longer (at times many seconds)"."""


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Run:
    """A run of a task that is at work."""

    def __init__(self, task: str, number: int, spec: str) -> None:
        self.task = task
        self.number = number
        self.started = time.monotonic()
        last = spec.rpartition(" ")[2]
        self.work_s = int(last) / 1000 if last.isdigit() else None

    @property
    def percent(self) -> int:
        if self.work_s is None:
            return 100
        return min(99, int(100 * (time.monotonic() - self.started) / self.work_s))


class Minion:
    """The state of one life of a minion."""

    def __init__(self, name: str, address: str, store: str, record: str, rack: str) -> None:
        self.name = name
        self.address = address
        self.store = store
        self.record = record
        self.rack = rack
        self.born = unix_ms()
        self.fence = 0
        self.until_ms = 0
        self.running: dict[str, Run] = {}
        self.finished: list[list[Any]] = []
        self.next_end = 1
        self.last_run: dict[str, int] = {}
        self.seq = 0
        self.state = "ready"

    @property
    def clock_ms(self) -> int:
        return unix_ms() - self.born

    def note(self, event: str, **fields: Any) -> None:
        line = json.dumps({"at": unix_ms(), "event": event, "minion": self.name, **fields})
        with open(self.record, "a", encoding="utf-8") as record:
            record.write(line + "\n")

    def end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is run:
            del self.running[run.task]
            self.finished.append([self.next_end, run.task, run.number, how, ""])
            self.next_end += 1
            self.last_run[run.task] = max(self.last_run.get(run.task, 0), run.number)
            self.note("end", task=run.task, run=run.number, how=how)

    def hold_until(self, until_ms: int | None) -> None:
        if until_ms is not None:
            self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms + MAX_HOLD_MS))

    def advance(self) -> None:
        for run in list(self.running.values()):
            if self.clock_ms >= self.until_ms:
                self.end(run, "lapsed")
            elif run.work_s is not None and time.monotonic() - run.started >= run.work_s:
                self.end(run, "done")

    async def handle(
        self, method: str, path: str, _: Any, body: dict[str, Any], headers: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms}
        if path == "/health":
            return 200, {}
        self.advance()
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock_ms, "reason": "fence"}
        self.fence = token
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/hold":
            return await self._hold(body)
        return 404, {"clockMs": self.clock_ms}

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["runId"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {"clockMs": self.clock_ms}
        if number <= self.last_run.get(task, 0) or known is not None:
            self.hold_until(body["untilMs"])
            return 409, {"clockMs": self.clock_ms, "reason": "old"}
        if body["untilMs"] <= self.clock_ms:
            return 409, {"clockMs": self.clock_ms, "reason": "late"}
        self.hold_until(body["untilMs"])
        self.running[task] = Run(task, number, body["spec"])
        self.note("start", task=task, run=number)
        return 200, {"clockMs": self.clock_ms}

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["runId"]
        self.last_run[task] = max(self.last_run.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(STOP_MS / 1000, self.end, run, "stopped")
        return 200, {"clockMs": self.clock_ms}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.hold_until(body.get("untilMs"))
        seen = body.get("lastSeen", 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        deadline = time.monotonic() + min(2_000, body.get("waitMs", 0)) / 1000
        while not self.finished and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
            self.advance()
        return 200, {
            "clockMs": self.clock_ms,
            "born": self.born,
            "running": [
                [run.task, run.number, "", run.percent, 0] for run in self.running.values()
            ],
            "finished": self.finished[:500],
        }

    def entry(self) -> dict[str, Any]:
        self.seq += 1
        return {
            "service": "desk",
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 8},
            "labels": ["a", self.rack],
            "born": self.born,
            "seq": self.seq,
        } | ({"remainingMs": int(DRAIN_SERVES_S * 1000)} if self.state == "draining" else {})

    def drain(self) -> None:
        """Reports that the minion is draining; returns once the store has accepted the report."""
        self.state = "draining"
        self.register()
        self.note("draining accepted")

    def register(self) -> None:
        url = f"http://{self.store}/stand-in/servers%2F{self.name}"
        call = urllib.request.Request(url, json.dumps(self.entry()).encode(), method="PUT")
        urllib.request.urlopen(call, timeout=2).read()


async def main() -> None:
    """Serves a minion until the process is killed."""
    name, host, port, store, record, rack = sys.argv[1:7]
    minion = Minion(name, f"{host}:{port}", store, record, rack)
    server, _ = await serve(host, int(port), minion.handle)
    minion.note("up")
    asked = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, asked.set)
    leaves = float("inf")
    while time.monotonic() < leaves:
        if asked.is_set() and minion.state == "ready":
            await asyncio.to_thread(minion.drain)
            leaves = time.monotonic() + DRAIN_SERVES_S
        else:
            await asyncio.to_thread(minion.register)
        end = time.monotonic() + HEARTBEAT_S
        while time.monotonic() < end and not (asked.is_set() and minion.state == "ready"):
            minion.advance()
            await asyncio.sleep(0.02)
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
