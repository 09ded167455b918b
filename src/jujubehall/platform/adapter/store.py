"""Client of the platform's key-value store."""

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
from jujubehall.platform.site_store import CALL_TIMEOUT_MS
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import LeaseId
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import StoredItems

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.http.client import ClientResponse
    from jujubehall.platform.site_store import Precondition
    from jujubehall.platform.site_store import Write

PEER = "store"
CONNECTION_POOL_SIZE = 6
"""Enough for the watches on jobs and on the configuration and for a few concurrent calls."""

_FAILURE_KIND_BY_STATUS = {
    400: FailureKind.INVALID,
    403: FailureKind.INVALID,
    404: FailureKind.NOT_FOUND,
    410: FailureKind.NOT_FOUND,
    413: FailureKind.INVALID,
    429: FailureKind.UNAVAILABLE,
    503: FailureKind.UNAVAILABLE,
}


class StoreClient:
    """Implements ``SiteStore`` over HTTP."""

    def __init__(self, reactor: Reactor, address: str) -> None:
        self._http = HttpClient(reactor, PEER, CONNECTION_POOL_SIZE)
        self._base = f"http://{address}"

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; returns None if it is absent."""
        path = "/kv-key?" + urlencode({"key": key})
        result = await self._call("get", "GET", path, type_=wire.Item, is_timeout_per_read=True)
        if isinstance(result, Err) and result.err_value.kind is FailureKind.NOT_FOUND:
            return Ok(None)
        return result.and_then(lambda item: _to_item("get", item))

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all keys that begin with ``prefix``; the revision is that of the first page."""
        items: list[StoredItem] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            path = "/kv-range?" + urlencode(query)
            # A page of up to 1 MB may take seconds on a slow link.
            result = await self._call(
                "list", "GET", path, type_=wire.RangePage, is_timeout_per_read=True
            )
            if isinstance(result, Err):
                return result
            page: wire.RangePage = result.ok_value
            revision = page.store_revision if revision is None else revision
            items += _decode_items(page.items)
            if not page.has_more or not page.items:
                return Ok(StoredItems(items, Revision(revision)))
            after = page.items[-1].key

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
        answer_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[StoredItems, Failure]:
        """Waits for changes after revision ``after``, at most ``wait_ms``.

        Fails with ``NOT_FOUND`` if the store no longer has the history since ``after``, and without
        an answer ``answer_timeout_ms`` after the end of the wait.
        """
        query = urlencode({"prefix": prefix, "after": after, "waitMs": wait_ms})
        timeout_ms = wait_ms + answer_timeout_ms
        result = await self._call(
            "watch",
            "GET",
            f"/kv-watch?{query}",
            type_=wire.WatchEvents,
            timeout_ms=timeout_ms,
            is_timeout_per_read=True,
        )
        return result.map(lambda watched: _to_changes(_decode_items(watched.events), after))

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[Revision | Conflict, Failure]:
        """Applies all writes and deletes atomically if all preconditions hold.

        Returns a ``Conflict`` if a precondition does not hold, and fails with ``NOT_FOUND`` if the
        lease of a write has ended.
        """
        body = wire.Transaction(
            [wire.PreconditionRow(each.key, each.revision) for each in preconditions],
            [wire.WriteRow(each.key, _to_base64(each.value), each.lease) for each in writes],
            deletes,
        )
        result = await self._send("commit", "POST", "/kv-txn", body, timeout_ms)
        if isinstance(result, Err):
            return result
        if result.ok_value.status == 412:
            conflict = _decode_body("commit", result.ok_value, wire.TransactionConflict)
            return conflict.map(lambda body: Conflict(_decode_items(body.items)))
        committed = _parse_response("commit", result.ok_value, wire.Committed)
        return committed.map(lambda body: Revision(body.revision))

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Requests a lease that ends ``ttl_ms`` milliseconds after its last renewal."""
        body = wire.LeaseRequest(ttl_ms)
        result = await self._call("grant lease", "POST", "/kv-lease", body, type_=wire.LeaseGranted)
        return result.map(lambda granted: LeaseId(granted.lease))

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Renews a lease; fails with ``NOT_FOUND`` if it has ended."""
        return await self._call("renew lease", "POST", f"/kv-keep/{lease}")

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Ends a lease and deletes the keys attached to it."""
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
        is_timeout_per_read: bool = False,
    ) -> Result[Any, Failure]:
        result = await self._send(step, method, path, body, timeout_ms, is_timeout_per_read)
        return result.and_then(lambda response: _parse_response(step, response, type_))

    async def _send(
        self,
        step: str,
        method: str,
        path: str,
        body: object | None,
        timeout_ms: int,
        is_timeout_per_read: bool = False,
    ) -> Result[ClientResponse, Failure]:
        result = await self._http.call(
            step,
            method,
            self._base + path,
            body,
            timeout_ms=timeout_ms,
            is_timeout_per_read=is_timeout_per_read,
        )
        if isinstance(result, Err):
            # Connections tend to go silent together; the next call must not wait on another one.
            self._http.close()
        return result


def _parse_response(step: str, response: ClientResponse, type_: Any) -> Result[Any, Failure]:
    if response.status // 100 != 2:
        kind = _FAILURE_KIND_BY_STATUS.get(response.status, FailureKind.NO_ANSWER)
        return Err(Failure(kind, step, PEER, f"status {response.status}"))
    return Ok(None) if type_ is None else _decode_body(step, response, type_)


def _decode_body(step: str, response: ClientResponse, type_: Any) -> Result[Any, Failure]:
    try:
        return Ok(response.decode(type_))
    except msgspec.DecodeError as error:
        # The call may have taken effect although its response can't be decoded.
        return Err(Failure(FailureKind.NO_ANSWER, step, PEER, f"undecodable response: {error}"))


def _to_item(step: str, item: wire.Item) -> Result[StoredItem, Failure]:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        return Err(Failure(FailureKind.INVALID, step, PEER, f"{item.key}: {error}"))
    return Ok(StoredItem(item.key, value, Revision(item.revision), item.is_deleted))


def _decode_items(items: list[wire.Item]) -> list[StoredItem]:
    """Decodes all items; an undecodable value becomes empty, which no valid record is."""
    decoded = []
    for item in items:
        result = _to_item("read", item)
        if isinstance(result, Ok):
            decoded.append(result.ok_value)
        else:
            decoded.append(StoredItem(item.key, b"", Revision(item.revision), item.is_deleted))
    return decoded


def _to_changes(changes: list[StoredItem], after: Revision) -> StoredItems:
    """Returns the changes of a watch with the revision from which to go on.

    The store's own revision may lie beyond changes that it has not returned, since its watches miss
    some while it is about to lose its history.
    """
    return StoredItems(changes, max((each.revision for each in changes), default=after))


def _to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")
