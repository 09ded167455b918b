"""Fake of the operators' platform that serves its protocol over HTTP to daemon processes.

Run it with ``python -m tests.platform.adapter.stand_in``; it prints the address of the store once
it accepts connections. The state is kept by the classes of the virtual site, which run here on the
time of the real reactor.
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

from jujubehall.core.fleet.reports import TaskId
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
from jujubehall.platform.site_store import StartCommand
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import sleep
from jujubehall.testing.virtual.fleet.store import RevisionedStore
from jujubehall.testing.virtual.fleet.workers import TaskRunRecorder
from jujubehall.testing.virtual.fleet.workers import VirtualWorker

HOST = "127.0.0.1"
WORKER_COUNT = 2
TASK_DURATION_MS = 300
POLL_INTERVAL_MS = 10
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
STEP = StepRequest(64, Resources(1_000, 1_000, 1), TASK_DURATION_MS)

reactor: Any = _reactor


class JsonResource(Resource):
    """Responds to every call with the status and the JSON body that ``handle_call`` returns."""

    isLeaf = True  # noqa: N815

    def render(self, request: Any) -> int:
        Deferred.fromCoroutine(self._serve(request))
        return NOT_DONE_YET

    async def _serve(self, request: Any) -> None:
        disconnects: list[object] = []
        request.notifyFinish().addErrback(disconnects.append)
        content = request.content.read()
        query = {name.decode(): values[0].decode() for name, values in request.args.items()}
        status, body = await self.handle_call(
            request.method.decode(), request.path.decode(), query, json.loads(content or b"{}")
        )
        if disconnects:
            return
        request.setResponseCode(status)
        request.write(json.dumps(body).encode())
        request.finish()

    async def handle_call(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        raise NotImplementedError


class StoreResource(JsonResource):
    """The store's API."""

    def __init__(self, store: RevisionedStore) -> None:
        super().__init__()
        self._store = store

    async def handle_call(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/kv-key":
            item = self._store.get(query["key"])
            return (404, {}) if item is None else (200, encode_item(item))
        if path == "/kv-range":
            stored = self._store.list_items(query["prefix"])
            items = [encode_item(item) for item in stored.items]
            return 200, {"items": items, "hasMore": False, "atRev": stored.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            return 200, {"lease": self._store.grant_lease(body["ttlMs"]), "ttlMs": body["ttlMs"]}
        lease = LeaseId(int(path.rpartition("/")[2]))
        if path.startswith("/kv-keep/"):
            return (200, {"ttlMs": 1}) if self._store.renew_lease(lease) else (404, {})
        self._store.revoke_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        deadline_s = reactor.seconds() + int(query["waitMs"]) / 1000
        while True:
            changes = self._store.changes(query["prefix"], int(query["after"]))
            if changes is None:
                return 410, {}
            if changes.items or reactor.seconds() >= deadline_s:
                events = [encode_item(item) for item in changes.items]
                return 200, {"events": events, "atRev": changes.revision}
            await sleep(reactor, POLL_INTERVAL_MS)

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        result = self._store.commit(
            [Precondition(row["key"], Revision(row["revision"])) for row in body["precondition"]],
            [
                Write(row["key"], base64.b64decode(row["value"]), LeaseId(row.get("lease", 0)))
                for row in body["writes"]
            ],
            body["deletes"],
        )
        if result is None:
            return 404, {}
        if isinstance(result, Conflict):
            return 412, {"items": [encode_item(item) for item in result.items]}
        return 200, {"revision": result}


class WorkerResource(JsonResource):
    """The API of one worker."""

    def __init__(self, worker: VirtualWorker) -> None:
        super().__init__()
        self._worker = worker

    async def handle_call(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/hold":
            return await self._hold(body)
        task = parse_task_name(body["task"])
        if path == "/run-stop":
            self._worker.stop(body["fencingToken"], task, body["runId"])
            return 200, {"clockMs": self._worker.now_ms}
        command = StartCommand(
            task, body["runId"], body["spec"], body["untilMs"], body.get("checkpoint", "")
        )
        result = self._worker.start(body["fencingToken"], command)
        if isinstance(result, Err):
            refusal = result.err_value
            reason = (
                "" if isinstance(refusal, Failure) else REASON_BY_REFUSAL.get(refusal.reason, "")
            )
            return 409, {"clockMs": self._worker.now_ms, "reason": reason}
        return 200, {"clockMs": self._worker.now_ms}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        deadline_s = reactor.seconds() + body.get("waitMs", 0) / 1000
        until_ms = body.get("untilMs")
        while True:
            result = self._worker.report(body["fencingToken"], body["lastSeen"], until_ms)
            if isinstance(result, Err):
                return 409, {"clockMs": self._worker.now_ms, "reason": "fence"}
            if self._worker.has_unconfirmed_ends or reactor.seconds() >= deadline_s:
                break
            until_ms = None
            await sleep(reactor, POLL_INTERVAL_MS)
        report = result.ok_value
        return 200, {
            "clockMs": report.clock_ms,
            "born": report.incarnation,
            "running": [
                [format_task_name(run.task), run.run, run.checkpoint, run.percent, 0]
                for run in report.running
            ],
            "finished": [
                [end.number, format_task_name(end.task), end.run, end.kind.value, end.checkpoint]
                for end in report.ended
            ],
        }


REASON_BY_REFUSAL = {
    RefusalReason.FENCED: "fence",
    RefusalReason.SUPERSEDED_RUN: "old",
    RefusalReason.LEASE_EXPIRED: "late",
    RefusalReason.NO_ROOM: "room",
}


def encode_item(item: StoredItem) -> dict[str, Any]:
    if item.is_deleted:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(item.value).decode("ascii")
    return {"key": item.key, "value": value, "revision": item.revision, "lease": 0}


def format_task_name(task: TaskId) -> str:
    return ".".join(str(part) for part in task)


def parse_task_name(text: str) -> TaskId:
    job, *numbers = text.split(".")
    return TaskId(JobId(job), *(int(number) for number in numbers))


def main() -> None:
    """Serves the store and ``WORKER_COUNT`` workers until the process is killed."""
    store = RevisionedStore(reactor)
    run_recorder = TaskRunRecorder()
    store.commit([], [Write("op/config", json.dumps(CONFIGURATION).encode())], [])
    for number in range(WORKER_COUNT):
        listed = ListedWorker(
            WorkerName(f"i-{number}"),
            "",
            PoolName("desk"),
            ZoneName("a"),
            RackName("r0"),
            frozenset({"a", "r0"}),
            Resources(64_000, 262_144, 8),
            incarnation=1,
        )
        worker = VirtualWorker(listed, reactor, run_recorder, lambda task: STEP)
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
        LoopingCall(worker.advance).start(POLL_INTERVAL_MS / 1000)
    port = reactor.listenTCP(0, Site(StoreResource(store)), interface=HOST).getHost().port
    print(f"{HOST}:{port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
