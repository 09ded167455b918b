"""A simulated site together with the inputs that it received and the answers that it gave."""

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
from jujubehall.testing.randomised.unhandled_errors import UnhandledErrorCollector
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.core.jobs.job import JobState
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import RequestId
    from jujubehall.testing.virtual.site import VirtualEntryHost

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
STARTUP_MS = 5_000
"""Virtual time between the moment when all entry hosts are ready and the first step."""

RECOVERY_MS = 30_000
"""Virtual time between the end of all failures and the checks that follow it."""

JOBS_END_TIMEOUT_MS = 600_000
"""Virtual time within which all accepted jobs must end once all failures have ended."""


class SentRequest(msgspec.Struct):
    """A request of a caller with the number of its attempts and the answers to them."""

    request: Request
    attempts: int = 0
    answers: list[Answer] = msgspec.field(default_factory=list)


class AcceptedChange(msgspec.Struct, frozen=True):
    """A configuration change that an operator was told has taken effect."""

    token: str
    number: int


class Simulation:
    """The simulated site, and the recorded inputs and answers that the invariants refer to."""

    def __init__(self, seed: int) -> None:
        self.unhandled_errors = UnhandledErrorCollector()
        self.site = VirtualSite(SITE, seed)
        self.requests: dict[RequestId, SentRequest] = {}
        self.accepted_jobs: set[JobId] = set()
        self.final_job_states: dict[JobId, JobState] = {}
        self.accepted_changes: list[AcceptedChange] = []
        self.pending_requests: defaultdict[VirtualEntryHost, set[RequestId]] = defaultdict(set)
        self.requests_dropped_by_stops: list[str] = []
        self.action_counts: Counter[str] = Counter()
        self.ownership_records: list[dict[str, object]] = []
        self._name_counts: dict[str, int] = {}
        self._record_ownership_writes()
        self.site.run_until(
            lambda: all(host.entry_host.is_ready for host in self.site.hosts.values())
        )
        self.site.run_for(STARTUP_MS)

    @property
    def running_hosts(self) -> list[VirtualEntryHost]:
        """The entry hosts whose process has not been killed; suspended ones are included."""
        return [host for host in self.site.hosts.values() if not host.reactor.is_killed]

    def host(self, name: str) -> VirtualEntryHost:
        """Returns the entry host with a name."""
        return self.site.hosts[EntryHostName(name)]

    def configuration_of(self, host: VirtualEntryHost) -> Configuration:
        """Returns the configuration that an entry host has in force."""
        return host.entry_host.configuration.current

    def unique_name(self, prefix: str) -> str:
        """Returns a name with a prefix that has not been used in this run."""
        self._name_counts[prefix] = self._name_counts.get(prefix, 0) + 1
        return f"{prefix}-{self._name_counts[prefix]}"

    def schedule(self, delay_ms: int, callback: Callable[[], object]) -> None:
        """Calls a function after a delay in virtual time, for example to end a failure."""
        self.site.time.callLater(to_seconds(delay_ms), callback)

    def recover(self) -> None:
        """Ends all failures, restarts killed entry hosts and waits for ``RECOVERY_MS``."""
        network = self.site.network
        network.reconnect_all()
        network.is_platform_down = False
        network.platform_delay_ms = 0
        network.response_loss_rate = 0.0
        for endpoint in self.site.endpoints.values():
            endpoint.behaviour = type(endpoint.behaviour)()
            endpoint.is_down = False
        for worker in self.site.workers.values():
            worker.is_down = False
            worker.command_delay_ms = 0
            worker.behaviour = type(worker.behaviour)()
            worker.set_foreign_use(Resources(0))
        for host in list(self.site.hosts.values()):
            host.reactor.resume()
            self.restart_if_killed(host)
        self.site.run_for(RECOVERY_MS)

    def restart_if_killed(self, host: VirtualEntryHost) -> None:
        """Starts a new incarnation of a killed entry host unless it has been replaced already."""
        if host.reactor.is_killed and self.site.hosts[host.name] is host:
            self.site.start_host(entry_host_number(host.name))

    def _record_ownership_writes(self) -> None:
        original_put = self.site.store.put

        def recording_put(key: str, value: object, *rest: object) -> object:
            result = original_put(key, value, *rest)  # type: ignore[arg-type]
            if key == OWNERSHIP_KEY and result.is_ok():
                self.ownership_records.append(value)  # type: ignore[arg-type]
            return result

        self.site.store.put = recording_put  # type: ignore[method-assign, assignment]


def entry_host_number(name: str) -> int:
    """Returns the number of an entry host in the site file."""
    return int(name.rsplit("-", 1)[1])
