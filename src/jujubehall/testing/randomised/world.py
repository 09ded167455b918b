"""A virtual site together with what callers and operators sent to it and were told."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from jujubehall.clock import to_seconds
from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.requests.request import Answer
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import TeamName
from jujubehall.testing.randomised.escaped_errors import EscapedErrors
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.core.jobs.job import JobState
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import RequestId
    from jujubehall.testing.virtual.site import VirtualHost

SITE = SiteFile(
    zones=("zone-a", "zone-b"),
    entry_hosts=4,
    endpoints=4,
    workers=8,
    workers_per_rack=4,
    worker_capacity=Resources(8, 60, 250),
    first_port=20_000,
)
TEAMS = (TeamName("studio"), TeamName("events"), TeamName("night"))
START_MS = 5_000
HEALING_MS = 30_000
SETTLING_LIMIT_MS = 600_000


class SentRequest(msgspec.Struct):
    """A caller's request with all its attempts and their answers."""

    request: Request
    attempts: int = 0
    answers: list[Answer] = msgspec.field(default_factory=list)


class AcceptedChange(msgspec.Struct, frozen=True):
    """A change of the configuration that an operator was told is in force."""

    token: str
    number: int


class World:
    """Everything that the invariants look at."""

    def __init__(self, seed: int) -> None:
        self.escaped = EscapedErrors()
        self.site = VirtualSite(SITE, seed)
        self.requests: dict[RequestId, SentRequest] = {}
        self.accepted_jobs: set[JobId] = set()
        self.ended_jobs: dict[JobId, JobState] = {}
        self.accepted_changes: list[AcceptedChange] = []
        self.unanswered: defaultdict[VirtualHost, set[RequestId]] = defaultdict(set)
        self.cut_by_stops: list[str] = []
        self.counts: Counter[str] = Counter()
        self.records: list[dict[str, object]] = []
        self._numbers: dict[str, int] = {}
        self._watch_ownership()
        self.site.run_until(lambda: all(each.host.is_ready for each in self.site.hosts.values()))
        self.site.run_for(START_MS)

    @property
    def running_hosts(self) -> list[VirtualHost]:
        """The entry hosts whose processes exist, frozen ones included."""
        return [each for each in self.site.hosts.values() if not each.reactor.is_killed]

    def host(self, name: str) -> VirtualHost:
        """The entry host of that name."""
        return self.site.hosts[EntryHostName(name)]

    def configuration_of(self, host: VirtualHost) -> Configuration:
        """The configuration in force on an entry host."""
        return host.host.configuration.current

    def next_name(self, kind: str) -> str:
        """A name that was not used before in this run."""
        self._numbers[kind] = self._numbers.get(kind, 0) + 1
        return f"{kind}-{self._numbers[kind]}"

    def later(self, delay_ms: int, undo: Callable[[], object]) -> None:
        """Does something after a while, such as ending a failure."""
        self.site.time.callLater(to_seconds(delay_ms), undo)

    def heal(self) -> None:
        """Ends every failure that lasts, and restarts what is dead."""
        network = self.site.network
        network.join_all()
        network.platform_down = False
        network.platform_delay_ms = 0
        network.lost_answer_share = 0.0
        for endpoint in self.site.endpoints.values():
            endpoint.behaviour = type(endpoint.behaviour)()
            endpoint.down = False
        for worker in self.site.workers.values():
            worker.is_down = False
            worker.answer_delay_ms = 0
            worker.behaviour = type(worker.behaviour)()
            worker.set_foreign(Resources(0))
        for host in list(self.site.hosts.values()):
            host.reactor.thaw()
            self.restart_if_dead(host)
        self.site.run_for(HEALING_MS)

    def restart_if_dead(self, host: VirtualHost) -> None:
        """Starts a new incarnation in place of a dead entry host."""
        if host.reactor.is_killed and self.site.hosts[host.name] is host:
            self.site.start_host(number_of(host.name))

    def _watch_ownership(self) -> None:
        put = self.site.store.put

        def recorded_put(key: str, value: object, *rest: object) -> object:
            written = put(key, value, *rest)  # type: ignore[arg-type]
            if key == OWNERSHIP_KEY and written.is_ok():
                self.records.append(value)  # type: ignore[arg-type]
            return written

        self.site.store.put = recorded_put  # type: ignore[method-assign, assignment]


def number_of(name: str) -> int:
    """The number of an entry host in the site file."""
    return int(name.rsplit("-", 1)[1])
