"""The platform's store."""

from __future__ import annotations

import base64
import binascii

from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.platform.adapter import wire
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import LeaseId
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import StoredItems

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.http.client import Response
    from jujubehall.platform.site_store import Precondition
    from jujubehall.platform.site_store import Write

PEER = "store"
CALL_TIMEOUT_MS = 1_000
"""A slow store answers within some 250 ms; a silent one is to be noticed soon."""

CONNECTIONS = 6
"""Watches of jobs and of the configuration, and a few calls beside them."""

_FAILURE_OF_STATUS = {
    400: FailureKind.INVALID,
    403: FailureKind.INVALID,
    404: FailureKind.NOT_FOUND,
    410: FailureKind.NOT_FOUND,
    429: FailureKind.UNAVAILABLE,
    503: FailureKind.UNAVAILABLE,
}


class StoreClient:
    """Implements ``SiteStore``."""

    def __init__(self, reactor: Reactor, address: str) -> None:
        self._http = HttpClient(reactor, PEER, CONNECTIONS)
        self._base = f"http://{address}"

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; None if it is absent."""
        path = "/kv-key?" + urlencode({"key": key})
        answer = await self._call("get", "GET", path, type_=wire.Item)
        if isinstance(answer, Err) and answer.err_value.kind is FailureKind.NOT_FOUND:
            return Ok(None)
        return answer.and_then(lambda item: _to_item("get", item))

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all keys under ``prefix``; the revision is that of the first page."""
        items: list[StoredItem] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            path = "/kv-range?" + urlencode(query)
            answer = await self._call("list", "GET", path, type_=wire.Range)
            if isinstance(answer, Err):
                return answer
            page: wire.Range = answer.ok_value
            revision = page.store_revision if revision is None else revision
            items += _readable_items(page.items)
            if not page.has_more or not page.items:
                return Ok(StoredItems(items, Revision(revision)))
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: Revision, wait_ms: int
    ) -> Result[StoredItems, Failure]:
        """Waits for changes; ``NOT_FOUND`` if the history after ``after`` is gone."""
        query = urlencode({"prefix": prefix, "after": after, "waitMs": wait_ms})
        timeout_ms = wait_ms + CALL_TIMEOUT_MS
        answer = await self._call(
            "watch", "GET", f"/kv-watch?{query}", type_=wire.Events, timeout_ms=timeout_ms
        )
        return answer.map(
            lambda found: StoredItems(_readable_items(found.events), Revision(found.store_revision))
        )

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[Revision | Conflict, Failure]:
        """Does all or nothing; ``NOT_FOUND`` if a lease of a write has ended."""
        body = wire.Transaction(
            [wire.ConditionRow(each.key, each.revision) for each in preconditions],
            [wire.WriteRow(each.key, _encode(each.value), each.lease) for each in writes],
            deletes,
        )
        answer = await self._send("commit", "POST", "/kv-txn", body, timeout_ms)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == 412:
            refuted = _decode("commit", answer.ok_value, wire.Refuted)
            return refuted.map(lambda found: Conflict(_readable_items(found.items)))
        committed = _check("commit", answer.ok_value, wire.Committed)
        return committed.map(lambda found: Revision(found.revision))

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Asks for a lease."""
        body = wire.LeaseRequest(ttl_ms)
        answer = await self._call("grant lease", "POST", "/kv-lease", body, type_=wire.LeaseGranted)
        return answer.map(lambda granted: LeaseId(granted.lease))

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Extends a lease; ``NOT_FOUND`` if it has ended."""
        return await self._call("renew lease", "POST", f"/kv-keep/{lease}")

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Ends a lease and deletes its keys."""
        return await self._call("end lease", "DELETE", f"/kv-lease-end/{lease}")

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: object | None = None,
        *,
        type_: Any = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[Any, Failure]:
        answer = await self._send(step, method, path, body, timeout_ms)
        return answer.and_then(lambda response: _check(step, response, type_))

    async def _send(
        self, step: str, method: str, path: str, body: object | None, timeout_ms: int
    ) -> Result[Response, Failure]:
        return await self._http.call(step, method, self._base + path, body, timeout_ms=timeout_ms)


def _check(step: str, response: Response, type_: Any) -> Result[Any, Failure]:
    if response.status // 100 != 2:
        kind = _FAILURE_OF_STATUS.get(response.status, FailureKind.NO_ANSWER)
        return Err(Failure(kind, step, PEER, f"status {response.status}"))
    return Ok(None) if type_ is None else _decode(step, response, type_)


def _decode(step: str, response: Response, type_: Any) -> Result[Any, Failure]:
    try:
        return Ok(response.decode(type_))
    except msgspec.DecodeError as error:
        # The call itself may have taken effect; only its answer can't be read.
        return Err(Failure(FailureKind.NO_ANSWER, step, PEER, f"undecodable answer: {error}"))


def _to_item(step: str, item: wire.Item) -> Result[StoredItem, Failure]:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        return Err(Failure(FailureKind.INVALID, step, PEER, f"{item.key}: {error}"))
    return Ok(StoredItem(item.key, value, Revision(item.revision), item.is_deleted))


def _readable_items(items: list[wire.Item]) -> list[StoredItem]:
    """All items; one whose value can't be read is given as empty, which no record is."""
    decoded = []
    for item in items:
        readable = _to_item("read", item)
        if isinstance(readable, Ok):
            decoded.append(readable.ok_value)
        else:
            decoded.append(StoredItem(item.key, b"", Revision(item.revision), item.is_deleted))
    return decoded


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")
