"""HTTP client of the platform's key-value service and host list.

docs/PLATFORM.md specifies the protocol. Every method returns a ``Result``; after a failure of kind
``NO_ANSWER``, a write may have taken effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.platform.entry import Changes
from jujubehall.platform.entry import Entry
from jujubehall.platform.entry import LeaseRequest
from jujubehall.platform.entry import LeaseResponse
from jujubehall.platform.entry import PutRequest
from jujubehall.platform.entry import PutResponse
from jujubehall.platform.host import Host
from jujubehall.platform.interface import WATCH_WAIT_MS

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.identifiers import Version

CALL_TIMEOUT_MS = 2_000
PEER = "platform"

_FAILURE_KIND_BY_STATUS = {
    400: FailureKind.INVALID,
    404: FailureKind.NOT_FOUND,
    409: FailureKind.CONFLICT,
    410: FailureKind.NOT_FOUND,
    413: FailureKind.INVALID,
    503: FailureKind.UNAVAILABLE,
}


class PlatformClient:
    """Implements ``Platform`` over HTTP.

    ``calls`` counts the calls by operation, because the platform bills each call.
    """

    def __init__(self, reactor: Reactor, address: str) -> None:
        self._http = HttpClient(reactor, PEER)
        self._address = address.rstrip("/")
        self.calls: dict[str, int] = {}

    async def get(self, key: str) -> Result[Entry, Failure]:
        """Reads one key."""
        return await self._call("get", "GET", _key_path(key), type_=Entry)

    async def list_entries(self, prefix: str) -> Result[Changes, Failure]:
        """Reads all keys that begin with ``prefix``."""
        query = urlencode({"prefix": prefix})
        return await self._call("list", "GET", f"/v1/kv?{query}", type_=Changes)

    async def put(
        self, key: str, value: Any, expected_version: Version, lease: str = ""
    ) -> Result[Version, Failure]:
        """Writes ``key`` if its version is ``expected_version``; returns the new version.

        With ``lease``, the key is deleted when the lease expires.
        """
        body = PutRequest(value, expected_version, lease)
        result = await self._call("put", "PUT", _key_path(key), body, type_=PutResponse)
        return result.map(lambda body: body.version)

    async def delete(self, key: str, expected_version: Version) -> Result[None, Failure]:
        """Deletes ``key`` if its version is ``expected_version``."""
        query = urlencode({"expected_version": expected_version})
        return await self._call("delete", "DELETE", f"{_key_path(key)}?{query}")

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int = WATCH_WAIT_MS
    ) -> Result[Changes, Failure]:
        """Waits for changes to keys that begin with ``prefix``, after ``after_revision``.

        Returns no entries if nothing changed within ``wait_ms``.
        """
        query = urlencode({"prefix": prefix, "after": after_revision, "wait_ms": wait_ms})
        timeout_ms = wait_ms + CALL_TIMEOUT_MS
        path = f"/v1/watch?{query}"
        return await self._call("watch", "GET", path, type_=Changes, timeout_ms=timeout_ms)

    async def grant_lease(self, ttl_ms: int) -> Result[str, Failure]:
        """Requests a lease; returns its identifier."""
        body = LeaseRequest(ttl_ms)
        result = await self._call("grant lease", "POST", "/v1/leases", body, type_=LeaseResponse)
        return result.map(lambda body: body.lease)

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renews a lease for its full duration; fails with ``NOT_FOUND`` if it has expired."""
        return await self._call("renew lease", "PUT", f"/v1/leases/{quote(lease)}")

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """Revokes a lease and deletes the keys attached to it."""
        return await self._call("revoke lease", "DELETE", f"/v1/leases/{quote(lease)}")

    async def hosts(self) -> Result[list[Host], Failure]:
        """Reads the list of live and leaving hosts, which may be out of date."""
        return await self._call("list hosts", "GET", "/v1/hosts", type_=list[Host])

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
        self.calls[step] = self.calls.get(step, 0) + 1
        url = self._address + path
        result = await self._http.call(step, method, url, body, timeout_ms=timeout_ms)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status != 200:
            kind = _FAILURE_KIND_BY_STATUS.get(response.status, FailureKind.NO_ANSWER)
            return Err(Failure(kind, step, PEER, f"status {response.status}"))
        return Ok(None if type_ is None else response.decode(type_))


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"
