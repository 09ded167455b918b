"""Tests the host list delay of the platform stand-in."""

from __future__ import annotations

from typing import Any

import msgspec

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as VirtualTime

from jujubehall.clock import reactor_clock
from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.platform.host import Host
from jujubehall.platform.host import HostKind
from jujubehall.platform.host import HostState
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.platform_stand_in import Faults
from jujubehall.testing.platform_stand_in import PlatformStandIn

LIVE_HOST = Host("endpoint-0", HostKind.ENDPOINT, "http://10.0.0.9:80", "zone-a")
LEAVING_HOST = msgspec.structs.replace(LIVE_HOST, state=HostState.LEAVING)


def make_call(body: object = None) -> HttpRequest:
    return HttpRequest("PUT", "/", {}, {}, msgspec.json.encode(body))


def get_response(coroutine: Any) -> HttpResponse:
    responses: list[HttpResponse] = []
    Deferred.fromCoroutine(coroutine).addCallback(responses.append)
    return responses[0]


def test_host_list_change_becomes_visible_after_the_configured_lag() -> None:
    time = VirtualTime()
    stand_in = PlatformStandIn(time, KeyValueStore(reactor_clock(time)), [LIVE_HOST])
    get_response(stand_in.set_faults(make_call(Faults(host_list_lag_ms=2_000))))
    get_response(stand_in.set_hosts(make_call([LEAVING_HOST])))
    time.advance(1.9)
    assert get_response(stand_in.hosts(make_call())).body == [LIVE_HOST]
    time.advance(0.1)
    assert get_response(stand_in.hosts(make_call())).body == [LEAVING_HOST]
