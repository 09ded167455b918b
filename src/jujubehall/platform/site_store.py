"""The store of a site and the pools of workers, as the services see them.

Implemented by ``platform.adapter`` for the operators' platform, and by fakes in tests.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import NewType
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.core.fleet.reports import TaskName
    from jujubehall.core.fleet.reports import WorkerReport
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.errors import Failure
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName

Revision = NewType("Revision", int)
"""The store's counter of changes; 0 stands for an absent key."""

LeaseId = NewType("LeaseId", int)
NO_LEASE = LeaseId(0)
ABSENT = Revision(0)

MAX_COMMIT_ROWS = 32
"""Preconditions, writes and deletes of one commit together; the store's published limit."""


class StoredItem(NamedTuple):
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: Revision
    is_deleted: bool = False


class StoredItems(NamedTuple):
    """Items or changes, complete up to ``revision``."""

    items: list[StoredItem]
    revision: Revision


class Precondition(NamedTuple):
    """A key that must have a revision for a commit to take effect."""

    key: str
    revision: Revision


class Write(NamedTuple):
    """A value to be written; with a lease, it is deleted when the lease ends."""

    key: str
    value: bytes
    lease: LeaseId = NO_LEASE


class Conflict(NamedTuple):
    """A commit that had no effect, with the present items of its preconditions."""

    items: list[StoredItem]


class SiteStore(Protocol):
    """Compare-and-swap, leases and watches over revisioned keys.

    A failure for which ``may_have_taken_effect`` is true may even take effect seconds later, if
    its preconditions still hold then.
    """

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; None if it is absent."""

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all keys under ``prefix``; the revision is that of the first page."""

    async def watch(
        self, prefix: str, after: Revision, wait_ms: int
    ) -> Result[StoredItems, Failure]:
        """Waits for changes; ``NOT_FOUND`` if the history after ``after`` is gone."""

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Revision | Conflict, Failure]:
        """Does all or nothing; ``NOT_FOUND`` if a lease of a write has ended."""

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Asks for a lease."""

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Extends a lease; ``NOT_FOUND`` if it has ended."""

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Ends a lease and deletes its keys."""


class ConfigurationRead(NamedTuple):
    """A configuration, the bytes that it was decoded from, and the revision that it is from."""

    configuration: SiteConfiguration
    content: bytes
    revision: Revision


class SiteDirectory(Protocol):
    """What the operators and the workers write to the store."""

    async def configuration(self) -> Result[ConfigurationRead | None, Failure]:
        """Reads the newest configuration; None before the first."""

    async def wait_for_configuration(
        self, after: Revision, wait_ms: int
    ) -> Result[ConfigurationRead | None, Failure]:
        """Waits for a configuration later than ``after``; None if there was none meanwhile."""

    def decode_configuration(self, content: bytes) -> Result[SiteConfiguration, Failure]:
        """Decodes what another entry host has read."""

    async def workers(self) -> Result[list[ListedWorker], Failure]:
        """Lists the workers that are registered now."""


class StartOrder(NamedTuple):
    """A run to start; ``until_ms`` is on the worker's clock and holds for all that runs there."""

    task: TaskName
    run: int
    spec: str
    until_ms: int
    checkpoint: str = ""
    ticket: str = ""


class SiteAdvice(Protocol):
    """A service that says which workers may run a step of a queue that asks for advice."""

    async def ask(
        self, job: JobId, occurrence: int, step: int, workers: list[WorkerName]
    ) -> Result[tuple[dict[WorkerName, str], int], Failure]:
        """Returns the tickets of the workers that may run the step, and how long they hold."""


class RefusalReason(Enum):
    """Why a worker refuses a start."""

    FENCED = "fenced"
    """It has seen a higher fencing token."""

    OLD_RUN = "old-run"
    """A run with this or a higher number has ended there."""

    LEASE_OVER = "lease-over"
    """The lease ends in the past of the worker's clock."""

    NO_ROOM = "no-room"
    TICKET = "ticket"
    """The ticket of the advice service is missing or no longer valid."""

    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other-life"
    """Another worker answers at the address."""

    MALFORMED = "malformed"


class StartRefusal(NamedTuple):
    """A worker's refusal to start a run; nothing was started."""

    reason: RefusalReason
    detail: str = ""


class SiteWorkers(Protocol):
    """Orders to workers; a failure may have been carried out, or may be seconds later."""

    async def start(
        self, worker: ListedWorker, token: FencingToken, order: StartOrder
    ) -> Result[None, StartRefusal | Failure]:
        """Starts a run."""

    async def stop(
        self, worker: ListedWorker, token: FencingToken, task: TaskName, run: int
    ) -> Result[None, Failure]:
        """Stops a run; one that is not there yet will be refused from now on."""

    async def report(
        self,
        worker: ListedWorker,
        token: FencingToken,
        confirmed_ends: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Extends the leases of all that runs, confirms ends and asks for the rest."""
