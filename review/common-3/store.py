"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it, in a process of its own.

Run as ``python3 store.py HOST PORT``. ``PUT /stand-in/KEY`` writes a key as the operator or a minion
would and is used by the other stand-ins only; ``DELETE /stand-in/KEY`` removes it.
"""

from __future__ import annotations

import asyncio
import base64
import json
import sys
import time

from typing import Any
from urllib.parse import unquote

from http_server import serve

PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases, a history for the watches and conditional transactions."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, int]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def expire(self) -> None:
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if end <= now:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def write(self, key: str, value: str, lease: int = 0) -> None:
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._note(self.items[key])

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any], _: Any
    ) -> tuple[int, dict[str, Any]]:
        self.expire()
        if path.startswith("/stand-in/"):
            key = unquote(path.removeprefix("/stand-in/"))
            self.revision += 1
            if method == "DELETE":
                self.remove(key)
            else:
                self.write(key, base64.b64encode(json.dumps(body).encode()).decode())
            return 200, {"revision": self.revision}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"atRev": self.revision})
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transaction(body)
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_ms = max(1_000, min(600_000, int(body["ttlMs"])))
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttlMs": ttl_ms}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "atRev": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        end = time.monotonic() + int(query["waitMs"]) / 1000
        prefix, after = query["prefix"], int(query["after"])
        while True:
            self.expire()
            events = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def _transaction(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = body.get("precondition", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any(
            (current[row["key"]]["revision"] if current[row["key"]] else 0) != row["revision"]
            for row in rows
        ):
            return 412, {"items": [item for item in current.values() if item is not None]}
        writes = body.get("writes", [])
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}


async def main() -> None:
    """Serves the store until the process is killed."""
    store = Store()
    server, _ = await serve(sys.argv[1], int(sys.argv[2]), store.handle)
    print("ready", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
