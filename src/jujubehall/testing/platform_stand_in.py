"""HTTP stand-in for the platform: key-value service, host list and injected faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.errors import FailureKind
from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.http.router import Router
from jujubehall.platform.entry import LeaseRequest
from jujubehall.platform.entry import LeaseResponse
from jujubehall.platform.entry import PutRequest
from jujubehall.platform.entry import PutResponse
from jujubehall.platform.host import Host

if TYPE_CHECKING:
    from result import Result

    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.testing.key_value_store import KeyValueStore

LEASE_CHECK_INTERVAL_MS = 100
WATCH_POLL_INTERVAL_MS = 5

_STATUS_BY_FAILURE_KIND = {
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 409,
    FailureKind.INVALID: 400,
}

routes = Router()


class Faults(msgspec.Struct, frozen=True):
    """Faults that the stand-in injects.

    ``down`` rejects every call with status 503. ``delay_ms`` delays each call. ``lose_answers`` is
    the number of following writes that take effect but return status 504. ``host_list_lag_ms`` is
    the delay until a change of the host list becomes visible.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    host_list_lag_ms: int = 0


class PlatformStandIn:
    """Serves a ``KeyValueStore`` and a host list over HTTP; counts calls by kind."""

    def __init__(self, reactor: Reactor, store: KeyValueStore, hosts: list[Host]) -> None:
        self._reactor = reactor
        self._store = store
        self._hosts = hosts
        self._faults = Faults()
        self._responses_to_lose = 0
        self._calls: dict[str, int] = {}

    @routes.register("GET", "/v1/kv")
    async def list(self, call: HttpRequest) -> HttpResponse:
        """Returns the entries under a prefix."""
        if error_response := await self._begin_call("list"):
            return error_response
        return HttpResponse(200, self._store.list_entries(call.query.get("prefix", "")))

    @routes.register("GET", "/v1/kv/{key*}")
    async def get(self, call: HttpRequest) -> HttpResponse:
        """Returns the entry of one key."""
        if error_response := await self._begin_call("get"):
            return error_response
        return _to_response(self._store.get(call.parameters["key"]))

    @routes.register("PUT", "/v1/kv/{key*}")
    async def put(self, call: HttpRequest) -> HttpResponse:
        """Writes one key by compare-and-swap."""
        if error_response := await self._begin_call("put"):
            return error_response
        body = call.decode(PutRequest)
        key = call.parameters["key"]
        written = self._store.put(key, body.value, body.expected_version, body.lease)
        return self._respond_to_write(_to_response(written.map(PutResponse)))

    @routes.register("DELETE", "/v1/kv/{key*}")
    async def delete(self, call: HttpRequest) -> HttpResponse:
        """Deletes one key by compare-and-swap."""
        if error_response := await self._begin_call("delete"):
            return error_response
        deleted = self._store.delete(call.parameters["key"], int(call.query["expected_version"]))
        return self._respond_to_write(_to_response(deleted))

    @routes.register("GET", "/v1/watch")
    async def watch(self, call: HttpRequest) -> HttpResponse:
        """Waits up to ``wait_ms`` for changes under a prefix and returns them (long polling)."""
        if error_response := await self._begin_call("watch"):
            return error_response
        prefix = call.query.get("prefix", "")
        after_revision = int(call.query["after"])
        waited_ms = 0
        changes = self._store.changes(prefix, after_revision)
        while not changes.entries and waited_ms < int(call.query["wait_ms"]):
            await self._sleep(WATCH_POLL_INTERVAL_MS)
            waited_ms += WATCH_POLL_INTERVAL_MS
            if self._faults.down:
                return _UNAVAILABLE
            if self._store.revision > after_revision or waited_ms % LEASE_CHECK_INTERVAL_MS == 0:
                changes = self._store.changes(prefix, after_revision)
        return HttpResponse(200, changes)

    @routes.register("POST", "/v1/leases")
    async def grant_lease(self, call: HttpRequest) -> HttpResponse:
        """Grants a lease and returns its identifier."""
        if error_response := await self._begin_call("grant lease"):
            return error_response
        lease = self._store.grant_lease(call.decode(LeaseRequest).ttl_ms)
        return self._respond_to_write(HttpResponse(200, LeaseResponse(lease)))

    @routes.register("PUT", "/v1/leases/{lease}")
    async def renew_lease(self, call: HttpRequest) -> HttpResponse:
        """Restarts the TTL of a lease."""
        if error_response := await self._begin_call("renew lease"):
            return error_response
        return self._respond_to_write(
            _to_response(self._store.renew_lease(call.parameters["lease"]))
        )

    @routes.register("DELETE", "/v1/leases/{lease}")
    async def revoke_lease(self, call: HttpRequest) -> HttpResponse:
        """Revokes a lease, which deletes its keys."""
        if error_response := await self._begin_call("revoke lease"):
            return error_response
        self._store.revoke_lease(call.parameters["lease"])
        return self._respond_to_write(HttpResponse(200))

    @routes.register("GET", "/v1/hosts")
    async def hosts(self, call: HttpRequest) -> HttpResponse:
        """Returns the host list."""
        if error_response := await self._begin_call("list hosts"):
            return error_response
        return HttpResponse(200, self._hosts)

    @routes.register("PUT", "/test/hosts")
    async def set_hosts(self, call: HttpRequest) -> HttpResponse:
        """Replaces the host list; the change becomes visible after ``Faults.host_list_lag_ms``."""
        hosts = call.decode(list[Host])
        lag_s = to_seconds(self._faults.host_list_lag_ms)
        self._reactor.callLater(lag_s, setattr, self, "_hosts", hosts)
        return HttpResponse(200)

    @routes.register("PUT", "/test/faults")
    async def set_faults(self, call: HttpRequest) -> HttpResponse:
        """Replaces the injected faults."""
        self._faults = call.decode(Faults)
        self._responses_to_lose = self._faults.lose_answers
        return HttpResponse(200)

    @routes.register("GET", "/test/calls")
    async def calls(self, call: HttpRequest) -> HttpResponse:
        """Returns the number of calls so far by kind."""
        return HttpResponse(200, self._calls)

    async def _begin_call(self, kind: str) -> HttpResponse | None:
        self._calls[kind] = self._calls.get(kind, 0) + 1
        if self._faults.delay_ms:
            await self._sleep(self._faults.delay_ms)
        return _UNAVAILABLE if self._faults.down else None

    def _respond_to_write(self, response: HttpResponse) -> HttpResponse:
        if self._responses_to_lose and response.status == 200:
            self._responses_to_lose -= 1
            return HttpResponse(504, "response lost by fault injection")
        return response

    def _sleep(self, duration_ms: int) -> Deferred[None]:
        timer: Deferred[None] = Deferred()
        self._reactor.callLater(to_seconds(duration_ms), timer.callback, None)
        return timer


_UNAVAILABLE = HttpResponse(503, "service is down")


def _to_response(result: Result[object, Failure]) -> HttpResponse:
    if isinstance(result, Err):
        failure = result.err_value
        return HttpResponse(_STATUS_BY_FAILURE_KIND[failure.kind], failure.detail)
    return HttpResponse(200, result.ok_value)
