"""Interfaces to a site's store, configuration, advice service and workers.

``platform.adapter`` implements them for the operators' platform; tests use fakes.
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
    from jujubehall.core.fleet.reports import TaskId
    from jujubehall.core.fleet.reports import WorkerReport
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.errors import Failure
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName
    from jujubehall.identifiers import ZoneName

Revision = NewType("Revision", int)
"""The store's change counter; as the revision of a key, 0 means that the key is absent."""

LeaseId = NewType("LeaseId", int)
NO_LEASE = LeaseId(0)
ABSENT = Revision(0)

CALL_TIMEOUT_MS = 1_000
"""A slow store answers within about 250 ms; one that doesn't answer has to be noticed soon."""

MAX_COMMIT_ROWS = 32
"""The store's documented limit for preconditions, writes and deletes of one commit in total."""


class StoredItem(NamedTuple):
    """A key with its value and the revision of its last change, which may be its deletion."""

    key: str
    value: bytes
    revision: Revision
    is_deleted: bool = False


class StoredItems(NamedTuple):
    """Items or changes, complete up to store revision ``revision``."""

    items: list[StoredItem]
    revision: Revision


class Precondition(NamedTuple):
    """A commit takes effect only if ``key`` has ``revision``."""

    key: str
    revision: Revision


class Write(NamedTuple):
    """A value to write; with a lease, the key is deleted when the lease ends."""

    key: str
    value: bytes
    lease: LeaseId = NO_LEASE


class Conflict(NamedTuple):
    """The result of a commit without effect, with the current items of its preconditions."""

    items: list[StoredItem]


class SiteStore(Protocol):
    """A key-value store with revisions, atomic conditional commits, leases and watches.

    After a failure for which ``may_have_taken_effect`` is true, the operation may even take effect
    seconds later, if its preconditions still hold then.
    """

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; returns None if it is absent."""

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all keys that begin with ``prefix``; the revision is that of the first page."""

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
        answer_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[StoredItems, Failure]:
        """Waits for changes after revision ``after``, at most ``wait_ms``.

        Returns the revision of the last change, or ``after`` if there was none. Fails with
        ``NOT_FOUND`` if the store no longer has the history since ``after``, and without an answer
        ``answer_timeout_ms`` after the end of the wait.
        """

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Revision | Conflict, Failure]:
        """Applies all writes and deletes atomically if all preconditions hold.

        Returns a ``Conflict`` if a precondition does not hold, and fails with ``NOT_FOUND`` if the
        lease of a write has ended.
        """

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Requests a lease that ends ``ttl_ms`` milliseconds after its last renewal."""

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Renews a lease; fails with ``NOT_FOUND`` if it has ended."""

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Ends a lease and deletes the keys attached to it."""


class StoredConfiguration(NamedTuple):
    """The result of a read of the configuration.

    ``content`` is the encoded configuration, or None if there is none or it has not changed. The
    next change is to be waited for from ``revision`` on.
    """

    content: bytes | None
    revision: Revision


class ZoneChange(NamedTuple):
    """The evacuation of a zone by the operators, or its return."""

    zone: ZoneName
    is_evacuated: bool


class ZoneChanges(NamedTuple):
    """Changes in their order, complete up to store revision ``revision``."""

    changes: list[ZoneChange]
    revision: Revision


class SiteDirectory(Protocol):
    """The operators' configuration, evacuated zones and the worker entries in the store."""

    async def read_configuration(self) -> Result[StoredConfiguration, Failure]:
        """Reads the latest configuration."""

    async def wait_for_configuration(
        self, after: Revision, wait_ms: int, answer_timeout_ms: int
    ) -> Result[StoredConfiguration, Failure]:
        """Waits up to ``wait_ms`` for a configuration written after revision ``after``.

        Fails with ``NOT_FOUND`` if the store no longer has the history since ``after``, and without
        an answer ``answer_timeout_ms`` after the end of the wait.
        """

    def decode_configuration(self, content: bytes) -> Result[SiteConfiguration, Failure]:
        """Decodes the bytes of a configuration."""

    async def list_workers(self) -> Result[list[ListedWorker], Failure]:
        """Lists the registered workers."""

    async def list_evacuated_zones(self) -> Result[ZoneChanges, Failure]:
        """Lists the zones that are evacuated now."""

    async def wait_for_zone_changes(
        self, after: Revision, wait_ms: int
    ) -> Result[ZoneChanges, Failure]:
        """Waits for evacuations and returns of zones after revision ``after``.

        Returns no changes if there were none within ``wait_ms``, and fails with ``NOT_FOUND`` if
        the store no longer has the history since ``after``.
        """


class StartCommand(NamedTuple):
    """A run to start.

    ``lease_until_ms`` is the end of the lease on the worker's clock; it applies to all runs there.
    """

    task: TaskId
    run: int
    spec: str
    lease_until_ms: int
    checkpoint: str = ""
    ticket: str = ""


class SiteAdvice(Protocol):
    """The service that decides which workers may run a step, for queues that require its advice."""

    async def request_tickets(
        self, job: JobId, occurrence: int, step: int, workers: list[WorkerName]
    ) -> Result[tuple[dict[WorkerName, str], int], Failure]:
        """Requests a ticket for each of the workers that may run a step.

        Returns the tickets by worker, and their validity in milliseconds. Workers that may not run
        the step are left out.
        """


class RefusalReason(Enum):
    """Reason why a worker refused to start a run."""

    FENCED = "fenced"
    """The worker has seen a higher fencing token."""

    SUPERSEDED_RUN = "old-run"
    """A run of the task with the same or a higher number has ended on the worker."""

    LEASE_EXPIRED = "lease-over"
    """The lease has already expired by the worker's clock."""

    NO_ROOM = "no-room"
    INVALID_TICKET = "ticket"
    """The ticket from the advice service is missing or no longer valid."""

    UNHEALTHY = "unhealthy"
    OTHER_WORKER = "other-life"
    """A different worker now serves the address."""

    MALFORMED = "malformed"


class StartRefusal(NamedTuple):
    """A worker's refusal to start a run; no run was started."""

    reason: RefusalReason
    detail: str = ""


class SiteWorkers(Protocol):
    """Commands to workers.

    After a failure, a command may have taken effect or may do so seconds later.
    """

    async def start(
        self, worker: ListedWorker, token: FencingToken, command: StartCommand
    ) -> Result[None, StartRefusal | Failure]:
        """Starts a run, unless the worker refuses to."""

    async def stop(
        self, worker: ListedWorker, token: FencingToken, task: TaskId, run: int
    ) -> Result[None, Failure]:
        """Stops a run; the worker refuses to start the run if its start arrives later."""

    async def poll(
        self,
        worker: ListedWorker,
        token: FencingToken,
        confirmed_ends: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Renews the leases of all runs, acknowledges ended runs and reads the worker's report.

        Ends with a number up to ``confirmed_ends`` are acknowledged. ``until_ms`` is the new end of
        the leases on the worker's clock; with None they are not renewed. The worker may delay its
        report by up to ``wait_ms`` until there is something new.
        """
