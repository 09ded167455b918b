"""The lag of the host list of the platform's stand-in."""

from __future__ import annotations

from typing import Any

import msgspec

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as VirtualTime

from jujubehall.clock import reactor_clock
from jujubehall.http.router import Call
from jujubehall.http.router import Reply
from jujubehall.platform.host import Host
from jujubehall.platform.host import HostKind
from jujubehall.platform.host import HostState
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.platform_stand_in import Faults
from jujubehall.testing.platform_stand_in import PlatformStandIn

LIVE = Host("endpoint-0", HostKind.ENDPOINT, "http://10.0.0.9:80", "zone-a")
LEAVING = msgspec.structs.replace(LIVE, state=HostState.LEAVING)


def call(body: object = None) -> Call:
    return Call("PUT", "/", {}, {}, msgspec.json.encode(body))


def answer(coroutine: Any) -> Reply:
    replies: list[Reply] = []
    Deferred.fromCoroutine(coroutine).addCallback(replies.append)
    return replies[0]


def test_a_change_of_the_host_list_shows_after_the_lag() -> None:
    time = VirtualTime()
    stand_in = PlatformStandIn(time, KeyValueStore(reactor_clock(time)), [LIVE])
    answer(stand_in.set_faults(call(Faults(host_list_lag_ms=2_000))))
    answer(stand_in.set_hosts(call([LEAVING])))
    time.advance(1.9)
    assert answer(stand_in.hosts(call())).body == [LIVE]
    time.advance(0.1)
    assert answer(stand_in.hosts(call())).body == [LEAVING]
