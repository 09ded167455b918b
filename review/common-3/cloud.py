"""Stand-in of the platform's interface for machines, as PROTOCOL.md describes it.

It runs on a thread of the case, since it ends and starts the minions of its machines. The machine
``host-of-ID`` has the minion ID.
"""

from __future__ import annotations

import json
import threading
import time

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from small_site import Site

MAINTENANCE_S = 2.0


class Cloud:
    """The machines of a site. ``orders`` are the accepted upkeeps with the time of each."""

    def __init__(self, site: Site, note: Any) -> None:
        self.site = site
        self.note = note
        self.states: dict[str, str] = {}
        self.minion_of: dict[str, str] = {}
        self.orders: list[tuple[float, str]] = []
        self.done: set[tuple[str, int]] = set()
        self.fences: dict[str, int] = {}
        self.lock = threading.Lock()
        cloud = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                with cloud.lock:
                    self.answer(200, {"machines": cloud.listing(), "nextToken": ""})

            def do_POST(self) -> None:  # noqa: N802
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                token = int(self.headers.get("Fencing-Token", "0"))
                with cloud.lock:
                    self.answer(*cloud.upkeep(body, token))

            def answer(self, status: int, body: dict[str, Any]) -> None:
                content = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            def log_message(self, *_: object) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def add(self, minion: str) -> None:
        self.states[f"host-of-{minion}"] = "up"
        self.minion_of[f"host-of-{minion}"] = minion

    def listing(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": machine,
                "pool": "desk",
                "state": state,
                "zone": "zone-a",
                "labels": ["a", "r0"],
                "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 8},
                "id": self.minion_of[machine] if state == "up" else "",
            }
            for machine, state in self.states.items()
        ]

    def upkeep(self, body: dict[str, Any], token: int) -> tuple[int, dict[str, Any]]:
        machine, wave = body["machine"], body["wave"]
        if machine not in self.states:
            return 400, {}
        if token < self.fences.get(machine, 0):
            return 409, {"reason": "fence"}
        self.fences[machine] = token
        if (machine, wave) in self.done:
            return 200, {}
        if self.states[machine] != "up":
            return 409, {"reason": "busy"}
        self.done.add((machine, wave))
        self.states[machine] = "upkeep"
        minion = self.minion_of[machine]
        self.site.minions[minion].kill()
        self.orders.append((time.time(), machine))
        self.note(f"upkeep of {machine} begins")
        threading.Thread(target=self._finish, args=(machine,), daemon=True).start()
        return 200, {}

    def _finish(self, machine: str) -> None:
        time.sleep(MAINTENANCE_S)
        with self.lock:
            old = self.minion_of[machine]
            self.site.delete(f"servers/{old}")
            self.minion_of[machine] = new = f"{old}x"
            self.site.start_minion(new)
            self.states[machine] = "up"
