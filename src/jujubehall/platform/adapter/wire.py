"""What the operators' platform sends and takes, under its own names.

Only this package uses these types. Attributes are named for what they hold; ``name=`` gives the
platform's spelling.
"""

from __future__ import annotations

from typing import Any

import msgspec

from msgspec import field


class Item(msgspec.Struct, frozen=True):
    """A key of the store, or its deletion."""

    key: str
    revision: int
    value: str = ""
    """Standard base64."""

    is_deleted: bool = field(name="deleted", default=False)


class Range(msgspec.Struct, frozen=True):
    """One page of keys."""

    items: list[Item]
    store_revision: int = field(name="atRev")
    has_more: bool = field(name="hasMore", default=False)


class Events(msgspec.Struct, frozen=True):
    """Changes that a watch returned."""

    events: list[Item]
    store_revision: int = field(name="atRev")


class ConditionRow(msgspec.Struct, frozen=True):
    """A key and the revision that it must have."""

    key: str
    revision: int


class WriteRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key and its new value in base64."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct, frozen=True):
    """An all-or-nothing change."""

    conditions: list[ConditionRow] = field(name="precondition")
    writes: list[WriteRow]
    deletes: list[str]


class Committed(msgspec.Struct, frozen=True):
    """The revision that a change got."""

    revision: int


class Refuted(msgspec.Struct, frozen=True):
    """The present items of the conditions that did not hold."""

    items: list[Item] = []


class LeaseRequest(msgspec.Struct, frozen=True):
    """Asks for a lease."""

    ttl_ms: int = field(name="ttlMs")


class LeaseGranted(msgspec.Struct, frozen=True):
    """A lease."""

    lease: int


class Amounts(msgspec.Struct, frozen=True):
    """Amounts of a worker; ``cpu`` counts thousandths of a core."""

    cpu: int = 0
    memory_mb: int = field(name="memMb", default=0)
    accelerators: int = field(name="gpu", default=0)


class ServerEntry(msgspec.Struct, frozen=True):
    """A worker's own entry in the store."""

    service: str
    address: str
    zone: str
    state: str
    capacity: Amounts
    labels: list[str] = []
    """The worker's kind, then its rack."""

    born: int = 0
    remaining_ms: int | None = field(name="remainingMs", default=None)


class Route(msgspec.Struct, frozen=True):
    """A queue of the configuration."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_failures: int = field(name="maxAttempts", default=1)
    stretch: float = 1.0
    objective_ms: int = field(name="sloMs", default=0)
    timeout_ms: int = field(name="timeoutMs", default=0)
    is_public: bool = field(name="public", default=False)
    advice: Any = None


class Service(msgspec.Struct, frozen=True):
    """A pool of workers."""

    name: str
    enforces_capacity: bool = field(name="enforcesCapacity", default=False)
    is_spare: bool = field(name="spare", default=False)


class Guarantee(msgspec.Struct, frozen=True):
    """What a tenant can have at any moment."""

    accelerators: int = field(name="gpu", default=0)


class Tenant(msgspec.Struct, frozen=True):
    """A team."""

    name: str
    keys: list[str] = field(name="apiKeys", default_factory=list)
    guaranteed: Guarantee = Guarantee()


class Configuration(msgspec.Struct, frozen=True):
    """The operators' configuration in full."""

    version: int
    routes: list[Route] = []
    services: list[Service] = []
    tenants: list[Tenant] = []


class Step(msgspec.Struct, frozen=True):
    """A step of a submitted job; fields that are zero, false or empty are left out."""

    count: int
    cpu: int = 0
    memory_mb: int = field(name="memMb", default=0)
    accelerators: int = field(name="gpu", default=0)
    expected_ms: int = field(name="estRuntimeMs", default=0)
    after: list[int] = []
    gang: bool = False
    same_rack: bool = field(name="sameRack", default=False)
    """A preference: on several racks the tasks run slower."""

    data_rack: str = field(name="affinity", default="")
    """The rack of the data."""

    required_label: str = field(name="requiredLabel", default="")
    max_per_worker: int = field(name="maxPerServer", default=0)
    saves_checkpoints: bool = field(name="savesProgress", default=False)
    speculative: bool = False
    long_running: bool = field(name="longRunning", default=False)
    image: str = ""
    target_ms: int = field(name="targetMs", default=0)
    fills: bool = False
    may_miss: int = field(name="mayMiss", default=0)


class Submission(msgspec.Struct, frozen=True):
    """The body of a submitted job."""

    spec: str
    steps: list[Step]
    repeat_count: int = field(name="repeatCount", default=0)
    first_run_ms: int = field(name="firstRunMs", default=0)
    """Unix time."""

    interval_ms: int = field(name="intervalMs", default=0)


class RunStart(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order to start a run."""

    task: str
    run: int = field(name="runId")
    spec: str
    until_ms: int = field(name="untilMs")
    token: int = field(name="fencingToken")
    checkpoint: str = ""
    ticket: str = ""


class RunStop(msgspec.Struct, frozen=True):
    """An order to stop a run."""

    task: str
    run: int = field(name="runId")
    token: int = field(name="fencingToken")


class Hold(msgspec.Struct, frozen=True, omit_defaults=True):
    """Extends leases, confirms ends and asks for what runs."""

    token: int = field(name="fencingToken")
    confirmed_ends: int = field(name="lastSeen")
    until_ms: int | None = field(name="untilMs", default=None)
    wait_ms: int = field(name="waitMs", default=0)


class HoldAnswer(msgspec.Struct, frozen=True):
    """What a worker runs and what has ended there; rows as in the platform's pages."""

    clock_ms: int = field(name="clockMs")
    born: int = 0
    running: list[list[Any]] = []
    finished: list[tuple[int, str, int, str, str]] = []


class AdviceQuestion(msgspec.Struct, frozen=True):
    """Asks which of the workers may run a step."""

    step: str
    workers: list[str]


class AdviceGiven(msgspec.Struct, frozen=True):
    """Rows of a worker and its ticket."""

    good: list[tuple[str, str]]
    validity_ms: int = field(name="validityMs")


class OrderRefused(msgspec.Struct, frozen=True):
    """A worker's refusal."""

    reason: str = ""


class Wave(msgspec.Struct, frozen=True):
    """A wave of upkeep that the operators ask for."""

    number: int = field(name="wave")
    machines: list[str]
    duration_s: float = field(name="durationS")
    """The time for all machines together, not for one."""

    most_down: int = field(name="maximum")


class WaveStatus(msgspec.Struct, frozen=True):
    """How far a wave is."""

    state: str


class MachineEntry(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    machine: str
    state: str = ""
    worker: str | None = field(name="id", default=None)
    """The worker that is its present life, not the machine itself."""


class Machines(msgspec.Struct, frozen=True):
    """One page of machines."""

    machines: list[MachineEntry]
    next_token: str | None = field(name="nextToken", default=None)


class MachineUpkeep(msgspec.Struct, frozen=True):
    """An order to take a machine down."""

    machine: str
    wave: int
