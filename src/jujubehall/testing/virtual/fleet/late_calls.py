"""Tests of the calls on one job while the store carries some writes out late.

A run submits and cancels one job in some order, through one entry host or several. Each write is
answered, or takes effect seconds after the call that sent it, if its condition still holds then.
Once a cancellation has been acknowledged, nothing of the job may be started any more, neither by the
owner of that time nor by one that takes over or restarts later.

``python -m jujubehall.testing.virtual.fleet.late_calls --seeds 1920`` runs each order once and
prints the invariant violations; later seeds repeat the orders with other times.
"""

from __future__ import annotations

import sys

from enum import Enum
from itertools import product
from random import Random
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.clock import MS_PER_SECOND
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.fleet.admission import Outcome
from jujubehall.services.fleet.records import cancellation_key
from jujubehall.services.fleet.records import job_key
from jujubehall.testing.virtual.fleet.fault_simulation import make_configuration
from jujubehall.testing.virtual.fleet.fault_simulation import make_workers
from jujubehall.testing.virtual.fleet.fault_simulation import run_seeds
from jujubehall.testing.virtual.fleet.site import VirtualFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.services.fleet.admission import CallResponse

HOST_COUNT = 3
CANCEL_MS = 3_000
"""Time after the acknowledgement of a cancellation from which nothing of the job may be started."""

STEP_MS = 4_000
STEP_COUNT = 4
"""The job is at work, or about to be, while the last late write takes effect."""

LONGEST_PAUSE_S = 1.0
LATE_FOR_S = 12.0
"""Time after the last call in which its late writes take effect and a new owner takes over."""

JOB = JobId("00000000000000c1")


class Call(Enum):
    """A call of the job's caller."""

    SUBMIT = "submit"
    CANCEL = "cancel"


class Delay(Enum):
    """When the writes of a call take effect, as a range in milliseconds; None if they are prompt."""

    NONE = None
    DURING_CALL = (200, 1_500)
    AFTER_CALL = (3_000, 4_500)
    LONGEST = (5_500, 6_000)


class Route(Enum):
    """The entry hosts that the calls go through."""

    OWNER = "owner"
    OTHER = "other"
    ALTERNATING = "alternating"


class Order(NamedTuple):
    """The calls with the delays of their writes, and what happens after the last one."""

    calls: tuple[Call, ...]
    delays: tuple[Delay, ...]
    route: Route
    disruption: Callable[[LateCalls], None]


_disruptions: list[Callable[[LateCalls], None]] = []


def disruption(action: Callable[[LateCalls], None]) -> Callable[[LateCalls], None]:
    """Registers the decorated function as something that may follow the last call."""
    _disruptions.append(action)
    return action


@disruption
def keep_owner(simulation: LateCalls) -> None:
    """Changes nothing."""


@disruption
def hand_over(simulation: LateCalls) -> None:
    """Lets the owner give up the ownership."""
    if (owner := simulation.site.owner) is not None:
        run_in_background(owner.site_host.ownership.give_up("injected"))


@disruption
def kill_owner(simulation: LateCalls) -> None:
    """Kills the owner, which restarts after another host has taken over."""
    if (owner := simulation.site.owner) is not None:
        simulation.site.kill(owner)
        simulation.site.run(simulation.random.uniform(2.0, 4.0))
        simulation.site.restart(owner)


@disruption
def restart_all(simulation: LateCalls) -> None:
    """Kills all entry hosts at once and restarts them."""
    hosts = list(simulation.site.hosts)
    for host in hosts:
        simulation.site.kill(host)
    simulation.site.run(simulation.random.uniform(0.1, 3.0))
    for host in hosts:
        simulation.site.restart(host)


_SEQUENCES = (
    (Call.SUBMIT, Call.CANCEL),
    (Call.CANCEL, Call.SUBMIT),
    (Call.SUBMIT, Call.CANCEL, Call.SUBMIT),
    (Call.CANCEL, Call.SUBMIT, Call.CANCEL),
)


def _make_orders() -> list[Order]:
    return [
        Order(calls, delays, route, disruption)
        for calls in _SEQUENCES
        for delays in product(Delay, repeat=len(calls))
        for route in Route
        for disruption in _disruptions
    ]


ORDERS = _make_orders()


class LateCalls:
    """One run of the test: the order with the number ``seed``, at times that derive from it."""

    def __init__(self, seed: int) -> None:
        self.order = ORDERS[seed % len(ORDERS)]
        self.random = Random(seed)
        self.site = VirtualFleet(make_configuration(), make_workers(), HOST_COUNT, seed)
        self._acknowledged_ms: int | None = None
        """When a cancellation was first acknowledged."""

        self._is_accepted = False

    def run(self) -> list[str]:
        """Makes the calls and returns the invariant violations."""
        self.site.run_until(lambda: self.site.owner is not None, 10.0)
        self.site.run(1.0)
        for number, (call, delay) in enumerate(
            zip(self.order.calls, self.order.delays, strict=True)
        ):
            self._delay_writes(call, delay)
            self._make_call(call, self._host(number))
            self.site.run(self.random.uniform(0.0, LONGEST_PAUSE_S))
        for host in self.site.hosts:
            host.store.late_writes_ms.clear()
        self.order.disruption(self)
        self.site.run(LATE_FOR_S + STEP_COUNT * STEP_MS / MS_PER_SECOND)
        return self._find_violations()

    @property
    def _now_ms(self) -> int:
        return round(self.site.time.seconds() * MS_PER_SECOND)

    def _host(self, number: int) -> int:
        owner = self.site.owner
        assert owner is not None
        owner_index = self.site.hosts.index(owner)
        if self.order.route is Route.OWNER:
            return owner_index
        other = (owner_index + 1) % HOST_COUNT
        if self.order.route is Route.OTHER:
            return other
        return (other + number) % HOST_COUNT

    def _delay_writes(self, call: Call, delay: Delay) -> None:
        key = job_key(JOB) if call is Call.SUBMIT else cancellation_key(JOB)
        for host in self.site.hosts:
            host.store.late_writes_ms.clear()
            if delay.value is not None:
                host.store.late_writes_ms[key] = self.random.randint(*delay.value)

    def _make_call(self, call: Call, host: int) -> None:
        if call is Call.SUBMIT:
            response: CallResponse = self.site.submit(JOB, make_request(), host=host)
            self._is_accepted = self._is_accepted or response.outcome is Outcome.ACCEPTED
            return
        response = self.site.cancel(JOB, host=host)
        if response.outcome in (Outcome.ACCEPTED, Outcome.NO_SUCH_JOB):
            self._acknowledged_ms = self._acknowledged_ms or self._now_ms

    def _find_violations(self) -> list[str]:
        violations = list(self.site.run_recorder.violations)
        if self._acknowledged_ms is None:
            return violations
        violations += [
            f"{now_ms} ms: {task} is started, cancelled since {self._acknowledged_ms} ms"
            for now_ms, task in self.site.run_recorder.starts
            if now_ms > self._acknowledged_ms + CANCEL_MS
        ]
        violations += [
            f"{task} runs at the end"
            for task, holders in self.site.run_recorder.running.items()
            if holders
        ]
        state = self.site.job_state(JOB).state
        if state is not JobState.CANCELLED and (self._is_accepted or state is not None):
            violations.append(f"the cancelled job has the state {state}")
        return violations


def make_request() -> JobRequest:
    """Returns a job whose tasks are started one after the other."""
    steps = tuple(
        StepRequest(
            1, Resources(1_000, 1_000, 1), STEP_MS, after=(number - 1,) if number > 0 else ()
        )
        for number in range(STEP_COUNT)
    )
    return JobRequest("spec", steps)


if __name__ == "__main__":
    print(f"{len(ORDERS)} orders")
    sys.exit(run_seeds(LateCalls))
