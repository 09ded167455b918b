"""The claim log closes whenever another entry host may serve what it claims."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest

from result import Err
from result import Ok

from jujubehall.clock import reactor_clock
from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.core.requests.claim_records import ClaimHead
from jujubehall.core.requests.claim_records import claim_hash
from jujubehall.core.requests.claim_records import head_key
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import RequestId
from jujubehall.identifiers import Version
from jujubehall.services.claim_heads import mark_cleared
from jujubehall.services.claim_heads import seal_head
from jujubehall.services.claim_log import ClaimLog
from jujubehall.services.timing import start
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.network import Network
from jujubehall.testing.virtual.platform import VirtualPlatform
from jujubehall.testing.virtual.virtual_time import VirtualTime

NAME = EntryHostName("entry-0")
HOLD = RequestId("hold-1")
OTHER = RequestId("hold-2")


class Bench:
    """A store, and the claim logs of one entry host's incarnations."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.clock = reactor_clock(self.time)
        self.store = KeyValueStore(self.clock)
        self.network = Network(Random(1))
        reactor = HostReactor(self.time)
        self.platform = VirtualPlatform(reactor, self.network, NAME, self.store, list)

    def log(self, incarnation: str = "first") -> ClaimLog:
        return ClaimLog(self.platform, self.clock, NAME, Incarnation(incarnation))

    def set_epoch(self, epoch: int) -> None:
        found = self.store.get(OWNERSHIP_KEY)
        version = found.ok_value.version if isinstance(found, Ok) else Version(0)
        record = msgspec.to_builtins(OwnershipRecord(Epoch(epoch), (), {}, {}))
        assert isinstance(self.store.put(OWNERSHIP_KEY, record, version), Ok)

    def finish(self, coroutine: Any) -> Any:
        results: list[Any] = []
        start(coroutine).addCallback(results.append)
        for _ in range(20_000):
            if results:
                break
            self.time.advance(0.001)
        return results[0]

    def recorded(self) -> ClaimHead:
        head: ClaimHead = msgspec.convert(self.store.get(head_key(NAME)).unwrap().value, ClaimHead)
        return head


@pytest.fixture
def bench() -> Bench:
    bench = Bench()
    bench.set_epoch(1)
    return bench


def test_a_sealed_log_cannot_be_opened_again_for_its_epoch(bench: Bench) -> None:
    log = bench.log()
    assert isinstance(bench.finish(log.open(Epoch(1))), Ok)
    assert isinstance(bench.finish(seal_head(bench.platform, NAME, Epoch(2))), Ok)
    assert isinstance(bench.finish(log.open(Epoch(1))), Err)
    assert isinstance(bench.finish(log.claim(HOLD)), Err)


def test_a_log_without_a_head_cannot_be_opened_for_a_past_epoch(bench: Bench) -> None:
    # Its entry host was frozen before the first write, so that nobody found a head to seal.
    bench.set_epoch(2)
    log = bench.log()
    assert isinstance(bench.finish(log.open(Epoch(1))), Err)
    assert isinstance(bench.finish(log.claim(HOLD)), Err)


def test_a_restarted_entry_host_inherits_the_claims_of_its_earlier_incarnation(
    bench: Bench,
) -> None:
    first = bench.log()
    bench.finish(first.open(Epoch(1)))
    assert isinstance(bench.finish(first.claim(HOLD)), Ok)
    bench.set_epoch(2)
    second = bench.log("second")
    assert isinstance(bench.finish(second.open(Epoch(2))), Err)
    bench.finish(seal_head(bench.platform, NAME, Epoch(2)))
    bench.finish(mark_cleared(bench.platform, bench.recorded()))
    assert isinstance(bench.finish(second.open(Epoch(2))), Ok)
    assert second.carried == {claim_hash(HOLD)}
    assert isinstance(bench.finish(first.claim(OTHER)), Err)


def test_a_lost_answer_is_settled_by_reading_back(bench: Bench) -> None:
    log = bench.log()
    bench.finish(log.open(Epoch(1)))
    bench.network.lost_answer_share = 1.0
    assert isinstance(bench.finish(log.claim(HOLD)), Ok)
    assert bench.recorded().claims == (claim_hash(HOLD),)


def test_a_claim_gathered_before_an_opening_is_not_written_after_it(bench: Bench) -> None:
    log = bench.log()
    bench.finish(log.open(Epoch(1)))
    results: list[Any] = []
    start(log.claim(HOLD)).addCallback(results.append)
    start(log.claim(OTHER)).addCallback(results.append)
    bench.set_epoch(2)
    assert isinstance(bench.finish(log.open(Epoch(2))), Ok)
    assert [isinstance(result, Ok) for result in results] == [False, True]
    assert claim_hash(OTHER) not in bench.recorded().claims


def test_the_claim_of_a_request_that_did_not_run_is_dropped(bench: Bench) -> None:
    log = bench.log()
    bench.finish(log.open(Epoch(1)))
    bench.finish(log.claim(HOLD))
    log.release(HOLD)
    bench.finish(log.claim(OTHER))
    assert bench.recorded().claims == (claim_hash(OTHER),)
    log.release(OTHER)
    bench.finish(log.claim(OTHER))
    assert bench.recorded().claims[-1] == claim_hash(OTHER)
