"""Messages of the operators' platform, as they are encoded.

These types are internal to the adapter. Attributes have descriptive names; ``name=`` sets the
name that the platform's protocol uses.
"""

from __future__ import annotations

from typing import Any

import msgspec

from msgspec import field

from jujubehall.decoding import Amount
from jujubehall.decoding import Count
from jujubehall.decoding import Integer
from jujubehall.decoding import Number


class Item(msgspec.Struct, frozen=True):
    """A key of the store with its value, or a tombstone for a deleted key."""

    key: str
    revision: int
    value: str = ""
    """The value in standard base64."""

    is_deleted: bool = field(name="deleted", default=False)


class RangePage(msgspec.Struct, frozen=True):
    """One page of the keys that begin with a prefix."""

    items: list[Item]
    store_revision: int = field(name="atRev")
    has_more: bool = field(name="hasMore", default=False)


class WatchEvents(msgspec.Struct, frozen=True):
    """Changes that a watch call returns."""

    events: list[Item]
    store_revision: int = field(name="atRev")


class PreconditionRow(msgspec.Struct, frozen=True):
    """A key and the revision that it must have for a transaction to be applied."""

    key: str
    revision: int


class WriteRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key and its new value in standard base64."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct, frozen=True):
    """An atomic change of several keys, applied only if all preconditions hold."""

    preconditions: list[PreconditionRow] = field(name="precondition")
    writes: list[WriteRow]
    deletes: list[str]


class Committed(msgspec.Struct, frozen=True):
    """The revision of a committed transaction."""

    revision: int


class TransactionConflict(msgspec.Struct, frozen=True):
    """The current items of the preconditions that did not hold."""

    items: list[Item] = []


class LeaseRequest(msgspec.Struct, frozen=True):
    """Requests a lease with a time to live in milliseconds."""

    ttl_ms: int = field(name="ttlMs")


class LeaseGranted(msgspec.Struct, frozen=True):
    """The identifier of a granted lease."""

    lease: int


class ResourceAmounts(msgspec.Struct, frozen=True):
    """Resources of a worker; ``cpu`` is in thousandths of a core."""

    cpu: Amount = 0
    memory_mb: Amount = field(name="memMb", default=0)
    accelerators: Amount = field(name="gpu", default=0)


class ServerEntry(msgspec.Struct, frozen=True):
    """The entry that a worker registers for itself in the store.

    ``born`` is the Unix time in milliseconds at which the worker started, ``remaining_ms`` the time
    after which a draining worker leaves at the earliest.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: ResourceAmounts
    labels: list[str] = []
    """The worker's type, then its rack."""

    born: Count = 0
    remaining_ms: Integer | None = field(name="remainingMs", default=None)
    cold_remaining_ms: Number = field(name="coldRemainingMs", default=0.0)
    """How much longer the worker remains slow after its start."""


class Route(msgspec.Struct, frozen=True):
    """A route of the configuration; decoded into a ``Queue``."""

    name: str
    host: str
    prefix: str
    service: str
    priority: Integer = 0
    max_failures: Integer = field(name="maxAttempts", default=1)
    stretch: Number = 1.0
    objective_ms: Integer = field(name="sloMs", default=0)
    timeout_ms: Integer = field(name="timeoutMs", default=0)
    is_public: bool = field(name="public", default=False)
    advice: Any = None


class Service(msgspec.Struct, frozen=True):
    """A service of the configuration; its name is that of a pool of workers."""

    name: str
    enforces_capacity: bool = field(name="enforcesCapacity", default=False)
    is_spare: bool = field(name="spare", default=False)


class Guarantee(msgspec.Struct, frozen=True):
    """Resources that a tenant is entitled to at any time."""

    accelerators: Integer = field(name="gpu", default=0)


class Tenant(msgspec.Struct, frozen=True):
    """A tenant of the configuration; decoded into a ``Team``."""

    name: str
    keys: list[str] = field(name="apiKeys", default_factory=list)
    guaranteed: Guarantee = Guarantee()


class Configuration(msgspec.Struct, frozen=True):
    """The complete configuration as the operators write it."""

    version: Integer
    routes: list[Route] = []
    services: list[Service] = []
    tenants: list[Tenant] = []


class Step(msgspec.Struct, frozen=True):
    """A step of a submitted job; fields that are zero, false or empty are omitted."""

    count: Integer
    cpu: Amount = 0
    memory_mb: Amount = field(name="memMb", default=0)
    accelerators: Amount = field(name="gpu", default=0)
    expected_ms: Integer = field(name="estRuntimeMs", default=0)
    after: list[Integer] = []
    gang: bool = False
    same_rack: bool = field(name="sameRack", default=False)
    """A preference only: tasks run slower when they span several racks."""

    data_rack: str = field(name="affinity", default="")
    """The rack that stores the step's data."""

    required_label: str = field(name="requiredLabel", default="")
    max_per_worker: Integer = field(name="maxPerServer", default=0)
    saves_checkpoints: bool = field(name="savesProgress", default=False)
    speculative: bool = False
    long_running: bool = field(name="longRunning", default=False)
    image: str = ""
    target_ms: Integer = field(name="targetMs", default=0)
    fills: bool = False
    """Whether the tasks run only on processor time that other tasks leave unused."""

    may_miss: Integer = field(name="mayMiss", default=0)
    """How many tasks may be absent at once because of the scheduler's decisions."""


class Submission(msgspec.Struct, frozen=True):
    """The request body of a job submission."""

    spec: str
    steps: list[Step]
    repeat_count: Integer = field(name="repeatCount", default=0)
    first_run_ms: Integer = field(name="firstRunMs", default=0)
    """Unix time in milliseconds."""

    interval_ms: Integer = field(name="intervalMs", default=0)


class RunStart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Command to start a run, with the end of its lease on the worker's clock."""

    task: str
    run: int = field(name="runId")
    spec: str
    until_ms: int = field(name="untilMs")
    token: int = field(name="fencingToken")
    checkpoint: str = ""
    ticket: str = ""


class RunStop(msgspec.Struct, frozen=True):
    """Command to stop a run."""

    task: str
    run: int = field(name="runId")
    token: int = field(name="fencingToken")


class HoldRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Renews the leases of all runs, acknowledges ended runs and requests a report.

    Ends with a number up to ``confirmed_ends`` are acknowledged. The worker may delay its response
    by up to ``wait_ms`` until there is something new to report.
    """

    token: int = field(name="fencingToken")
    confirmed_ends: int = field(name="lastSeen")
    until_ms: int | None = field(name="untilMs", default=None)
    wait_ms: int = field(name="waitMs", default=0)


class HoldResponse(msgspec.Struct, frozen=True):
    """The runs of a worker and the unacknowledged ends, as rows in the protocol's column order."""

    clock_ms: Integer = field(name="clockMs")
    born: Count = 0
    running: list[list[Any]] = []
    finished: list[tuple[Count, str, Count, str, str]] = []


class AdviceRequest(msgspec.Struct, frozen=True):
    """Requests tickets for those of the workers that may run a step."""

    step: str
    workers: list[str]


class AdviceResponse(msgspec.Struct, frozen=True):
    """Pairs of a worker and its ticket, and the tickets' validity in milliseconds."""

    good: list[tuple[str, str]]
    validity_ms: Integer = field(name="validityMs")


class RefusalBody(msgspec.Struct, frozen=True):
    """The body of a response with which a worker or the cloud refuses a command."""

    reason: str = ""


class Wave(msgspec.Struct, frozen=True):
    """A maintenance wave that the operators request."""

    number: Integer = field(name="wave")
    machines: list[str]
    duration_s: Number = field(name="durationS")
    """Time for the maintenance of all machines of the wave, not for each."""

    most_down: Integer = field(name="maximum")
    """The most machines that may be down for the wave at the same time."""


class WaveStatus(msgspec.Struct, frozen=True):
    """The status of a wave, as reported to the operators."""

    state: str


class MachineEntry(msgspec.Struct, frozen=True):
    """A machine in the cloud's machine list."""

    machine: str
    state: str = ""
    worker: str | None = field(name="id", default=None)
    """The worker that the machine hosts now; not an identifier of the machine."""


class MachinePage(msgspec.Struct, frozen=True):
    """One page of the cloud's machine list."""

    machines: list[MachineEntry]
    next_token: str | None = field(name="nextToken", default=None)


class MachineUpkeep(msgspec.Struct, frozen=True):
    """Command to take a machine down for maintenance."""

    machine: str
    wave: int
