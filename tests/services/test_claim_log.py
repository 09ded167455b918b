"""The claim log is closed whenever another entry host may serve the same shards."""

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
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.claim_heads import mark_cleared
from jujubehall.services.claim_heads import seal_head
from jujubehall.services.claim_log import ClaimLog
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.network import Network
from jujubehall.testing.virtual.platform import VirtualPlatform
from jujubehall.testing.virtual.virtual_time import VirtualTime

NAME = EntryHostName("entry-0")
REQUEST = RequestId("hold-1")
OTHER_REQUEST = RequestId("hold-2")


class ClaimLogHarness:
    """A key-value store in virtual time, and claim logs of one entry host's incarnations."""

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
        run_in_background(coroutine).addCallback(results.append)
        for _ in range(20_000):
            if results:
                break
            self.time.advance(0.001)
        return results[0]

    def recorded(self) -> ClaimHead:
        head: ClaimHead = msgspec.convert(self.store.get(head_key(NAME)).unwrap().value, ClaimHead)
        return head


@pytest.fixture
def harness() -> ClaimLogHarness:
    harness = ClaimLogHarness()
    harness.set_epoch(1)
    return harness


def test_sealed_log_cannot_be_reopened_for_the_same_epoch(harness: ClaimLogHarness) -> None:
    log = harness.log()
    assert isinstance(harness.finish(log.open(Epoch(1))), Ok)
    assert isinstance(harness.finish(seal_head(harness.platform, NAME, Epoch(2))), Ok)
    assert isinstance(harness.finish(log.open(Epoch(1))), Err)
    assert isinstance(harness.finish(log.claim(REQUEST)), Err)


def test_log_without_stored_head_cannot_be_opened_for_a_past_epoch(
    harness: ClaimLogHarness,
) -> None:
    # The entry host was suspended before its first write, so that its successor found no head
    # to seal.
    harness.set_epoch(2)
    log = harness.log()
    assert isinstance(harness.finish(log.open(Epoch(1))), Err)
    assert isinstance(harness.finish(log.claim(REQUEST)), Err)


def test_restarted_entry_host_recovers_claims_of_its_earlier_incarnation(
    harness: ClaimLogHarness,
) -> None:
    first = harness.log()
    harness.finish(first.open(Epoch(1)))
    assert isinstance(harness.finish(first.claim(REQUEST)), Ok)
    harness.set_epoch(2)
    second = harness.log("second")
    assert isinstance(harness.finish(second.open(Epoch(2))), Err)
    harness.finish(seal_head(harness.platform, NAME, Epoch(2)))
    harness.finish(mark_cleared(harness.platform, harness.recorded()))
    assert isinstance(harness.finish(second.open(Epoch(2))), Ok)
    assert second.recovered_claims == {claim_hash(REQUEST)}
    assert isinstance(harness.finish(first.claim(OTHER_REQUEST)), Err)


def test_write_with_lost_response_is_resolved_by_reading_the_head(harness: ClaimLogHarness) -> None:
    log = harness.log()
    harness.finish(log.open(Epoch(1)))
    harness.network.response_loss_rate = 1.0
    assert isinstance(harness.finish(log.claim(REQUEST)), Ok)
    assert harness.recorded().claims == (claim_hash(REQUEST),)


def test_pending_claim_is_not_written_after_the_log_is_reopened(harness: ClaimLogHarness) -> None:
    log = harness.log()
    harness.finish(log.open(Epoch(1)))
    results: list[Any] = []
    run_in_background(log.claim(REQUEST)).addCallback(results.append)
    run_in_background(log.claim(OTHER_REQUEST)).addCallback(results.append)
    harness.set_epoch(2)
    assert isinstance(harness.finish(log.open(Epoch(2))), Ok)
    assert [isinstance(result, Ok) for result in results] == [False, True]
    assert claim_hash(OTHER_REQUEST) not in harness.recorded().claims


def test_released_claim_is_removed_by_the_next_write(harness: ClaimLogHarness) -> None:
    log = harness.log()
    harness.finish(log.open(Epoch(1)))
    harness.finish(log.claim(REQUEST))
    log.release(REQUEST)
    harness.finish(log.claim(OTHER_REQUEST))
    assert harness.recorded().claims == (claim_hash(OTHER_REQUEST),)
    log.release(OTHER_REQUEST)
    harness.finish(log.claim(OTHER_REQUEST))
    assert harness.recorded().claims[-1] == claim_hash(OTHER_REQUEST)
