"""An entry host follows the configuration in the store and never takes an invalid or older one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import structlog

from result import Err
from result import Ok
from result import Result

from jujubehall.clock import reactor_clock
from jujubehall.core.fleet.configuration import SiteConfiguration
from jujubehall.entry_hosts.messages import SiteConfigurationOffered
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredConfiguration
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.configuration_follower import OWNER_QUERY_AGE_MS
from jujubehall.services.fleet.configuration_follower import STORE_RETRY_INTERVAL_MS
from jujubehall.services.fleet.configuration_follower import WATCH_WAIT_MS
from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.virtual_time import VirtualTime

if TYPE_CHECKING:
    from typing import Any

DISCARDED = Failure(FailureKind.NOT_FOUND, "watch", "store", "status 410")
UNREACHABLE = Failure(FailureKind.NOT_SENT, "watch", "store", "connection refused")


class FakeDirectory:
    """Holds one configuration; a decimal number is a valid one."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.content: bytes | None = b"1"
        self.revision = 10
        self.failure: Failure | None = None
        self.answers_at_once = False
        self.reads = 0
        self.watches: list[int] = []

    async def read_configuration(self) -> Result[StoredConfiguration, Failure]:
        self.reads += 1
        if self.failure is not None:
            return Err(self.failure)
        return Ok(StoredConfiguration(self.content, Revision(self.revision)))

    async def wait_for_configuration(
        self, after: int, wait_ms: int, answer_timeout_ms: int
    ) -> Result[StoredConfiguration, Failure]:
        self.watches.append(after)
        if self.failure is not None:
            return Err(self.failure)
        if after < self.revision:
            return Ok(StoredConfiguration(self.content, Revision(self.revision)))
        if not self.answers_at_once:
            await sleep(self._reactor, wait_ms)
        return Ok(StoredConfiguration(None, Revision(after)))

    def decode_configuration(self, content: bytes) -> Result[SiteConfiguration, Failure]:
        if not content.isdigit():
            return Err(Failure(FailureKind.INVALID, "decode configuration", "operator"))
        return Ok(SiteConfiguration(int(content)))


class Site:
    """A follower with its directory under virtual time."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.time.advance(1_000)
        reactor = HostReactor(self.time)
        self.directory = FakeDirectory(reactor)
        self.offer: SiteConfigurationOffered | None = None
        self.follower = ConfigurationFollower(
            reactor, reactor_clock(reactor), self.directory  # type: ignore[arg-type]
        )
        self.follower.set_owner_query(self._query_owner)
        run_in_background(self.follower.run())
        self.run(50)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 10):
            self.time.advance(0.01)

    async def _query_owner(self, known: int, large: bool) -> SiteConfigurationOffered | None:
        return self.offer


@pytest.fixture
def followed() -> Site:
    return Site()


def test_invalid_configuration_is_not_taken_and_confirms_nothing(followed: Site) -> None:
    with structlog.testing.capture_logs() as logs:
        followed.directory.content, followed.directory.revision = b"invalid", 11
        followed.run(5_000)
    assert followed.follower.version == 1
    assert followed.follower.age_ms is not None
    assert followed.follower.age_ms > 5_000 - WATCH_WAIT_MS
    assert [each["event"] for each in logs].count("invalid configuration ignored") == 1
    followed.directory.content, followed.directory.revision = b"2", 12
    followed.run(WATCH_WAIT_MS)
    assert followed.follower.version == 2


def test_older_configuration_is_not_taken(followed: Site) -> None:
    followed.directory.content, followed.directory.revision = b"5", 11
    followed.run(WATCH_WAIT_MS)
    followed.directory.content, followed.directory.revision = b"4", 12
    followed.run(WATCH_WAIT_MS)
    assert followed.follower.version == 5


def test_configuration_of_the_owner_is_not_taken_if_it_is_older_or_invalid(followed: Site) -> None:
    followed.directory.failure = UNREACHABLE
    followed.offer = SiteConfigurationOffered(3, 0, b"3")
    followed.run(OWNER_QUERY_AGE_MS + 2 * WATCH_WAIT_MS)
    assert followed.follower.version == 3
    for offer in (SiteConfigurationOffered(2, 0, b"2"), SiteConfigurationOffered(9, 0, b"invalid")):
        followed.offer = offer
        followed.run(3 * OWNER_QUERY_AGE_MS)
        assert followed.follower.version == 3
        assert followed.follower.age_ms is not None
        assert followed.follower.age_ms >= 2 * OWNER_QUERY_AGE_MS


def test_age_counts_from_the_request_and_stays_below_that_at_which_the_owner_is_asked(
    followed: Site,
) -> None:
    ages = []
    for _ in range(200):
        followed.run(20)
        ages.append(followed.follower.age_ms or 0)
    assert WATCH_WAIT_MS <= max(ages) < OWNER_QUERY_AGE_MS


def test_store_is_read_again_after_it_has_discarded_its_history(followed: Site) -> None:
    followed.directory.failure = DISCARDED
    followed.run(WATCH_WAIT_MS)
    followed.directory.failure = None
    followed.directory.content, followed.directory.revision = b"2", 20
    followed.run(2 * STORE_RETRY_INTERVAL_MS)
    assert followed.follower.version == 2
    assert followed.directory.watches[-1] == 20


def test_watch_is_repeated_from_the_same_revision_without_a_read_after_other_failures(
    followed: Site,
) -> None:
    followed.directory.failure = UNREACHABLE
    followed.run(WATCH_WAIT_MS)
    followed.directory.failure = None
    followed.run(2 * STORE_RETRY_INTERVAL_MS)
    assert followed.directory.reads == 1
    assert followed.directory.watches[-1] == 10


def test_watch_that_returns_at_once_is_not_repeated_at_once(followed: Site) -> None:
    followed.directory.answers_at_once = True
    followed.run(WATCH_WAIT_MS)
    followed.directory.watches.clear()
    followed.run(2_000)
    assert len(followed.directory.watches) <= 2_000 // STORE_RETRY_INTERVAL_MS + 1
