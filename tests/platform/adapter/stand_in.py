"""Speaks the operators' platform's protocol over HTTP, for daemons in processes of their own.

Run as ``python -m tests.platform.adapter.stand_in``: it prints the address of the store once it
serves. The state is that of the virtual site, on the real reactor's time.
"""

from __future__ import annotations

import base64
import json

from typing import Any

from result import Err
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from jujubehall.core.fleet.reports import TaskName
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.workers import ListedWorker
from jujubehall.errors import Failure
from jujubehall.identifiers import JobId
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import LeaseId
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import RefusalReason
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StartOrder
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import Write
from jujubehall.services.timing import sleep
from jujubehall.testing.virtual.fleet.store import RevisionedStore
from jujubehall.testing.virtual.fleet.workers import TaskLedger
from jujubehall.testing.virtual.fleet.workers import VirtualWorker

HOST = "127.0.0.1"
WORKERS = 2
TASK_MS = 300
POLL_MS = 10
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "desk.example",
            "prefix": "/hold/",
            "service": "desk",
            "routeType": "unsafe",
            "timeoutMs": 3000,
            "sloMs": 250,
            "priority": 0,
            "maxAttempts": 2,
            "stretch": 1.5,
        }
    ],
    "services": [{"name": "desk", "healthPath": "/health", "enforcesCapacity": False}],
    "tenants": [{"name": "studio", "apiKeys": ["k1"], "guaranteed": {"gpu": 8}}],
}
STEP = StepRequest(64, Resources(1_000, 1_000, 1), TASK_MS)

reactor: Any = _reactor


class JsonResource(Resource):
    """Answers every call by ``answer``, which returns a status and a body."""

    isLeaf = True  # noqa: N815

    def render(self, request: Any) -> int:
        Deferred.fromCoroutine(self._serve(request))
        return NOT_DONE_YET

    async def _serve(self, request: Any) -> None:
        closed: list[object] = []
        request.notifyFinish().addErrback(closed.append)
        content = request.content.read()
        query = {name.decode(): values[0].decode() for name, values in request.args.items()}
        status, body = await self.answer(
            request.method.decode(), request.path.decode(), query, json.loads(content or b"{}")
        )
        if closed:
            return
        request.setResponseCode(status)
        request.write(json.dumps(body).encode())
        request.finish()

    async def answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        raise NotImplementedError


class StoreResource(JsonResource):
    """The store's calls."""

    def __init__(self, store: RevisionedStore) -> None:
        super().__init__()
        self._store = store

    async def answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/kv-key":
            item = self._store.get(query["key"])
            return (404, {}) if item is None else (200, encode(item))
        if path == "/kv-range":
            found = self._store.list_items(query["prefix"])
            items = [encode(item) for item in found.items]
            return 200, {"items": items, "hasMore": False, "atRev": found.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            return 200, {"lease": self._store.grant(body["ttlMs"]), "ttlMs": body["ttlMs"]}
        lease = LeaseId(int(path.rpartition("/")[2]))
        if path.startswith("/kv-keep/"):
            return (200, {"ttlMs": 1}) if self._store.renew(lease) else (404, {})
        self._store.end(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        give_up_s = reactor.seconds() + int(query["waitMs"]) / 1000
        while True:
            found = self._store.changes(query["prefix"], int(query["after"]))
            if found is None:
                return 410, {}
            if found.items or reactor.seconds() >= give_up_s:
                events = [encode(item) for item in found.items]
                return 200, {"events": events, "atRev": found.revision}
            await sleep(reactor, POLL_MS)

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        outcome = self._store.commit(
            [Precondition(row["key"], Revision(row["revision"])) for row in body["precondition"]],
            [
                Write(row["key"], base64.b64decode(row["value"]), LeaseId(row.get("lease", 0)))
                for row in body["writes"]
            ],
            body["deletes"],
        )
        if outcome is None:
            return 404, {}
        if isinstance(outcome, Conflict):
            return 412, {"items": [encode(item) for item in outcome.items]}
        return 200, {"revision": outcome}


class WorkerResource(JsonResource):
    """The calls of one worker."""

    def __init__(self, worker: VirtualWorker) -> None:
        super().__init__()
        self._worker = worker

    async def answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/hold":
            return await self._hold(body)
        task = decode_task(body["task"])
        if path == "/run-stop":
            self._worker.stop(body["fencingToken"], task, body["runId"])
            return 200, {"clockMs": self._worker.now_ms}
        order = StartOrder(
            task, body["runId"], body["spec"], body["untilMs"], body.get("checkpoint", "")
        )
        started = self._worker.start(body["fencingToken"], order)
        if isinstance(started, Err):
            refusal = started.err_value
            reason = "" if isinstance(refusal, Failure) else REASONS.get(refusal.reason, "")
            return 409, {"clockMs": self._worker.now_ms, "reason": reason}
        return 200, {"clockMs": self._worker.now_ms}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        give_up_s = reactor.seconds() + body.get("waitMs", 0) / 1000
        until_ms = body.get("untilMs")
        while True:
            held = self._worker.hold(body["fencingToken"], body["lastSeen"], until_ms)
            if isinstance(held, Err):
                return 409, {"clockMs": self._worker.now_ms, "reason": "fence"}
            if self._worker.has_news or reactor.seconds() >= give_up_s:
                break
            until_ms = None
            await sleep(reactor, POLL_MS)
        report = held.ok_value
        return 200, {
            "clockMs": report.clock_ms,
            "born": report.life,
            "running": [
                [encode_task(each.task), each.run, each.checkpoint, each.percent, 0]
                for each in report.running
            ],
            "finished": [
                [each.number, encode_task(each.task), each.run, each.kind.value, each.checkpoint]
                for each in report.ended
            ],
        }


REASONS = {
    RefusalReason.FENCED: "fence",
    RefusalReason.OLD_RUN: "old",
    RefusalReason.LEASE_OVER: "late",
    RefusalReason.NO_ROOM: "room",
}


def encode(item: StoredItem) -> dict[str, Any]:
    if item.is_deleted:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(item.value).decode("ascii")
    return {"key": item.key, "value": value, "revision": item.revision, "lease": 0}


def encode_task(task: TaskName) -> str:
    return ".".join(str(part) for part in task)


def decode_task(text: str) -> TaskName:
    job, *numbers = text.split(".")
    return TaskName(JobId(job), *(int(number) for number in numbers))


def main() -> None:
    """Serves the store and two workers until the process is ended."""
    store = RevisionedStore(reactor)
    ledger = TaskLedger()
    store.commit([], [Write("op/config", json.dumps(CONFIGURATION).encode())], [])
    for number in range(WORKERS):
        listed = ListedWorker(
            WorkerName(f"i-{number}"),
            "",
            PoolName("desk"),
            ZoneName("a"),
            RackName("r0"),
            frozenset({"a", "r0"}),
            Resources(64_000, 262_144, 8),
            life=1,
        )
        worker = VirtualWorker(listed, reactor, ledger, lambda task: STEP, {})
        port = reactor.listenTCP(0, Site(WorkerResource(worker)), interface=HOST).getHost().port
        entry = {
            "service": "desk",
            "address": f"{HOST}:{port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 8},
            "labels": ["a", "r0"],
            "born": 1,
            "seq": 1,
        }
        store.commit([], [Write(f"servers/i-{number}", json.dumps(entry).encode())], [])
        LoopingCall(worker.advance).start(POLL_MS / 1000)
    port = reactor.listenTCP(0, Site(StoreResource(store)), interface=HOST).getHost().port
    print(f"{HOST}:{port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
