"""Randomised fault tests of a simulated site: random jobs, random faults and invariant checks.

``python -m jujubehall.testing.virtual.fleet.fault_simulation --seeds 50`` runs seeds 0 to 49 and
prints the invariant violations of each.
"""

from __future__ import annotations

import argparse
import sys

from random import Random
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar
from typing import Protocol

from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.configuration import SiteConfiguration
from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.workers import ListedWorker
from jujubehall.identifiers import JobId
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.testing.virtual.fleet.site import VirtualHost

HOST_COUNT = 4
WORKER_COUNT = 6
WORKERS_PER_RACK = 3
STEP_COUNT = 40
MEAN_STEP_S = 0.4
RECOVERY_S = 60.0
"""Virtual time between the end of all faults and the check of the jobs' states."""

POOL = PoolName("render")

_faults: list[Callable[[FaultSimulation], None]] = []


def fault(action: Callable[[FaultSimulation], None]) -> Callable[[FaultSimulation], None]:
    """Registers the decorated function as a fault that runs may inject."""
    _faults.append(action)
    return action


class FaultSimulation:
    """One run of the test; all random choices derive from ``seed``."""

    injected: ClassVar[list[Callable[[Any], None]]] = _faults
    """The changes that a run may make at random times."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.site = self.make_site(seed)
        self.accepted: dict[JobId, str] = {}
        """The queue of each accepted job."""

        self.cancelled: set[JobId] = set()
        self.refused: set[JobId] = set()
        self.unknown: dict[JobId, str] = {}
        """The queue of each job whose submission had an unknown outcome."""

    def make_site(self, seed: int) -> VirtualFleet:
        """Returns the site to simulate."""
        return VirtualFleet(make_configuration(), make_workers(), HOST_COUNT, seed)

    def run(self) -> list[str]:
        """Submits jobs and injects faults, ends all faults and returns the invariant violations."""
        self.site.run_until(lambda: self.site.owner is not None, 10.0)
        for number in range(STEP_COUNT):
            if self.random.random() < 0.5:
                self._submit(number)
            if self.random.random() < 0.1 and self.accepted:
                self._cancel()
            if self.random.random() < 0.35:
                self.random.choice(self.injected)(self)
            self.site.run(self.random.uniform(0.0, 2 * MEAN_STEP_S))
        self.end_faults()
        self.site.run(RECOVERY_S)
        return self.find_violations()

    def random_host(self) -> VirtualHost:
        """Returns an entry host, chosen at random."""
        return self.random.choice(self.site.hosts)

    def random_worker(self) -> WorkerName:
        """Returns the name of a worker, chosen at random."""
        return self.random.choice(sorted(self.site.workers))

    def _random_running_host(self) -> int | None:
        running = [
            number
            for number, host in enumerate(self.site.hosts)
            if not host.reactor.is_killed and not host.reactor.is_suspended
        ]
        return self.random.choice(running) if running else None

    def _submit(self, number: int) -> None:
        host = self._random_running_host()
        if host is None:
            return
        job = JobId(f"{number:016x}")
        queue = self.random.choice(["urgent", "normal"])
        self.note_submission(job)
        response = self.site.submit(job, self.make_request(), queue, host)
        if response.outcome is Outcome.ACCEPTED:
            self.accepted[job] = queue
        elif response.outcome is Outcome.UNKNOWN:
            self.unknown[job] = queue
        else:
            self.refused.add(job)

    def note_submission(self, job: JobId) -> None:
        """Called before each submission; subclasses may prepare the site for the job."""

    def is_allowed_end(self, job: JobId, state: str) -> bool:
        """Returns whether an accepted job may have the state after all faults have ended."""
        return state == "succeeded" or (state == "cancelled" and job in self.cancelled)

    def make_request(self) -> JobRequest:
        """Returns a random job request."""
        is_gang = self.random.random() < 0.5
        step = StepRequest(
            self.random.randint(1, 4),
            Resources(1_000, 1_000, self.random.choice([1, 2, 8])),
            self.random.randint(200, 4_000),
            is_gang=is_gang,
            prefers_one_rack=is_gang,
            saves_checkpoints=self.random.random() < 0.5,
        )
        next_step = StepRequest(1, Resources(1_000, 1_000, 1), 300, after=(0,))
        return JobRequest("spec", (step, next_step) if self.random.random() < 0.3 else (step,))

    def _cancel(self) -> None:
        host = self._random_running_host()
        if host is None:
            return
        job = self.random.choice(sorted(self.accepted))
        response = self.site.cancel(job, self.accepted[job], host)
        if response.outcome is not Outcome.NOT_RUN:
            self.cancelled.add(job)

    def end_faults(self) -> None:
        """Ends all faults."""
        self.site.network.reconnect_all()
        for host in list(self.site.hosts):
            host.reactor.resume()
            host.store.fault_mode = StoreFaultMode.NONE
            host.store.lost_response_probability = host.store.late_write_probability = 0.0
            host.workers.late_command_probability = 0.0
            host.workers.unreachable_workers.clear()
            if host.reactor.is_killed:
                self.site.restart(host)
        for worker in self.site.workers.values():
            worker.is_down = False
            worker.is_listed = True

    def find_violations(self) -> list[str]:
        """Returns the violations of invariants so far."""
        violations = list(self.site.run_recorder.violations)
        started = {task.job for task in self.site.run_recorder.start_counts}
        violations += [
            f"{job} was refused but was started" for job in sorted(self.refused & started)
        ]
        for job, queue in sorted(self.accepted.items()):
            state = self.site.job_state(job, queue).state
            if state is None or not self.is_allowed_end(job, state.value):
                violations.append(f"{job} was accepted but has the state {state}")
        return violations


@fault
def kill_host(simulation: FaultSimulation) -> None:
    """Kills the process of an entry host and restarts it 0.1 to 2 seconds later."""
    host = simulation.random_host()
    if not host.reactor.is_killed:
        simulation.site.kill(host)
        simulation.site.run(simulation.random.uniform(0.1, 2.0))
        simulation.site.restart(host)


@fault
def kill_owner(simulation: FaultSimulation) -> None:
    """Kills the process of the owner and restarts it 0.5 seconds later."""
    owner = simulation.site.owner
    if owner is not None:
        simulation.site.kill(owner)
        simulation.site.run(0.5)
        simulation.site.restart(owner)


@fault
def kill_all_hosts(simulation: FaultSimulation) -> None:
    """Kills all entry hosts at once, as a power failure does; restarts them 0.5 to 8 s later."""
    hosts = list(simulation.site.hosts)
    for host in hosts:
        simulation.site.kill(host)
    simulation.site.run(simulation.random.uniform(0.5, 8.0))
    for host in hosts:
        simulation.site.restart(host)


@fault
def suspend_owner(simulation: FaultSimulation) -> None:
    """Suspends the process of the owner for 0.5 to 5 seconds."""
    owner = simulation.site.owner
    if owner is not None:
        owner.reactor.suspend()
        simulation.site.run(simulation.random.uniform(0.5, 5.0))
        owner.reactor.resume()


@fault
def set_store_fault(simulation: FaultSimulation) -> None:
    """Sets the fault mode of an entry host's calls to the store, possibly to no fault."""
    simulation.random_host().store.fault_mode = simulation.random.choice(list(StoreFaultMode))


@fault
def stop_store(simulation: FaultSimulation) -> None:
    """Stops the store for 0.5 to 5 seconds; meanwhile, lease expiry is paused or goes on."""
    simulation.site.store.is_lease_expiry_paused = simulation.random.random() < 0.5
    simulation.site.set_store_fault_mode(
        simulation.random.choice(
            [
                StoreFaultMode.NO_RESPONSE,
                StoreFaultMode.CONNECTION_REFUSED,
                StoreFaultMode.UNAVAILABLE,
            ]
        )
    )
    simulation.site.run(simulation.random.uniform(0.5, 5.0))
    simulation.site.set_store_fault_mode(StoreFaultMode.NONE)
    simulation.site.store.is_lease_expiry_paused = False


@fault
def lose_store_responses(simulation: FaultSimulation) -> None:
    """Sets how many writes of an entry host time out, applied at once or seconds later."""
    host = simulation.random_host()
    host.store.lost_response_probability = simulation.random.choice([0.0, 0.3])
    host.store.late_write_probability = simulation.random.choice([0.0, 0.2])


@fault
def compact_store_history(simulation: FaultSimulation) -> None:
    """Compacts the store's history."""
    simulation.site.store.compact_history()


@fault
def disconnect_two_hosts(simulation: FaultSimulation) -> None:
    """Drops all messages between two entry hosts."""
    first, second = simulation.random.sample(simulation.site.hosts, 2)
    simulation.site.network.disconnect(first.name, second.name)


@fault
def disconnect_worker(simulation: FaultSimulation) -> None:
    """Disconnects a worker from all entry hosts and, half the time, from the store."""
    name = simulation.random_worker()
    for host in simulation.site.hosts:
        host.workers.unreachable_workers.add(name)
    simulation.site.workers[name].is_listed = simulation.random.random() < 0.5
    simulation.site.run(simulation.random.uniform(0.5, 9.0))
    for host in simulation.site.hosts:
        host.workers.unreachable_workers.discard(name)
    simulation.site.workers[name].is_listed = True


@fault
def crash_worker(simulation: FaultSimulation) -> None:
    """Crashes a worker, which restarts at once under the same name."""
    simulation.site.workers[simulation.random_worker()].restart()


@fault
def delay_worker_commands(simulation: FaultSimulation) -> None:
    """Sets how many commands of an entry host to workers time out and take effect late."""
    simulation.random_host().workers.late_command_probability = simulation.random.choice([0.0, 0.1])


def make_configuration() -> SiteConfiguration:
    """Returns a configuration with an urgent and a normal queue."""
    queues = tuple(
        Queue(QueueName(name), "site.example", f"/{name}/", POOL, priority=priority, max_failures=3)
        for priority, name in enumerate(("urgent", "normal"))
    )
    return SiteConfiguration(1, queues, (Team(TeamName("studio"), frozenset({"key"}), 16),))


def make_workers() -> list[ListedWorker]:
    """Returns workers in two racks."""
    return [
        ListedWorker(
            WorkerName(f"w{number}"),
            f"10.0.0.{number}:80",
            POOL,
            ZoneName("lagos-island"),
            RackName(f"r{number // WORKERS_PER_RACK}"),
            frozenset({"a", f"r{number // WORKERS_PER_RACK}"}),
            Resources(64_000, 262_144, 8),
            incarnation=1,
        )
        for number in range(WORKER_COUNT)
    ]


class Simulation(Protocol):
    """A run of a randomised test, whose random choices derive from its seed."""

    def __init__(self, seed: int) -> None: ...

    def run(self) -> list[str]:
        """Returns the invariant violations."""


def run_seeds(simulation: type[Simulation], arguments: Any = None) -> int:
    """Runs a range of seeds; returns 1 if any of them violated an invariant, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds")
    options = parser.parse_args(arguments)
    failed_seeds = 0
    for seed in range(options.first, options.first + options.seeds):
        violations = simulation(seed).run()
        failed_seeds += bool(violations)
        for violation in violations:
            print(f"seed {seed}: {violation}")
    print(f"{options.seeds} seeds, {failed_seeds} with violations")
    return int(failed_seeds > 0)


if __name__ == "__main__":
    sys.exit(run_seeds(FaultSimulation))
