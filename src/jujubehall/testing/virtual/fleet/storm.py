"""Seeded storms over a virtual site: random jobs under random faults, then a check of promises.

``python -m jujubehall.testing.virtual.fleet.storm --seeds 50`` runs seeds 0 to 49 and names those in
which a promise was broken.
"""

from __future__ import annotations

import argparse
import sys

from random import Random
from typing import TYPE_CHECKING
from typing import Any

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
from jujubehall.testing.virtual.fleet.store import Path

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.testing.virtual.fleet.site import VirtualHost

HOSTS = 4
WORKERS = 6
RACK_SIZE = 3
STEPS = 40
STEP_S = 0.4
HEAL_S = 60.0
POOL = PoolName("render")

_faults: list[Callable[[Storm], None]] = []


def fault(action: Callable[[Storm], None]) -> Callable[[Storm], None]:
    """Registers the decorated function as a fault that a storm may bring about."""
    _faults.append(action)
    return action


class Storm:
    """One seeded run."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.site = VirtualFleet(_configuration(), _workers(), HOSTS, seed)
        self.accepted: dict[JobId, str] = {}
        self.cancelled: set[JobId] = set()
        self.refused: set[JobId] = set()
        self.unknown: dict[JobId, str] = {}

    def run(self) -> list[str]:
        """Plays the storm and returns the broken promises."""
        self.site.run_until(lambda: self.site.owner is not None, 10.0)
        for number in range(STEPS):
            if self.random.random() < 0.5:
                self._submit(number)
            if self.random.random() < 0.1 and self.accepted:
                self._cancel()
            if self.random.random() < 0.35:
                self.random.choice(_faults)(self)
            self.site.run(self.random.uniform(0.0, 2 * STEP_S))
        self._heal()
        self.site.run(HEAL_S)
        return self._violations()

    def some_host(self) -> VirtualHost:
        """Any entry host."""
        return self.random.choice(self.site.hosts)

    def some_worker(self) -> WorkerName:
        """Any worker."""
        return self.random.choice(sorted(self.site.workers))

    def _live_host(self) -> int | None:
        live = [
            number
            for number, host in enumerate(self.site.hosts)
            if not host.reactor.is_killed and not host.reactor.is_frozen
        ]
        return self.random.choice(live) if live else None

    def _submit(self, number: int) -> None:
        host = self._live_host()
        if host is None:
            return
        job = JobId(f"{number:016x}")
        queue = self.random.choice(["urgent", "normal"])
        answer = self.site.submit(job, self._request(), queue, host)
        if answer.outcome is Outcome.ACCEPTED:
            self.accepted[job] = queue
        elif answer.outcome is Outcome.UNKNOWN:
            self.unknown[job] = queue
        else:
            self.refused.add(job)

    def _request(self) -> JobRequest:
        gang = self.random.random() < 0.5
        step = StepRequest(
            self.random.randint(1, 4),
            Resources(1_000, 1_000, self.random.choice([1, 2, 8])),
            self.random.randint(200, 4_000),
            is_gang=gang,
            prefers_one_rack=gang,
            saves_checkpoints=self.random.random() < 0.5,
        )
        after = StepRequest(1, Resources(1_000, 1_000, 1), 300, after=(0,))
        return JobRequest("spec", (step, after) if self.random.random() < 0.3 else (step,))

    def _cancel(self) -> None:
        host = self._live_host()
        if host is None:
            return
        job = self.random.choice(sorted(self.accepted))
        answer = self.site.cancel(job, self.accepted[job], host)
        if answer.outcome is not Outcome.NOT_RUN:
            self.cancelled.add(job)

    def _heal(self) -> None:
        self.site.network.join_all()
        for host in list(self.site.hosts):
            host.reactor.thaw()
            host.store.path = Path.SOUND
            host.store.lost_answers = host.store.late_writes = 0.0
            host.workers.late_orders = 0.0
            host.workers.cut.clear()
            if host.reactor.is_killed:
                self.site.restart(host)
        for worker in self.site.workers.values():
            worker.is_down = False
            worker.is_listed = True

    def _violations(self) -> list[str]:
        found = list(self.site.ledger.violations)
        started = {task.job for task in self.site.ledger.starts}
        found += [f"{job} was refused and has run" for job in sorted(self.refused & started)]
        for job, queue in sorted(self.accepted.items()):
            state = self.site.show(job, queue).state
            allowed = {"succeeded", "cancelled"} if job in self.cancelled else {"succeeded"}
            if state is None or state.value not in allowed:
                found.append(f"{job} was accepted and is {state}")
        return found


@fault
def kill_a_host(storm: Storm) -> None:
    """Kills an entry host's process and starts it again a moment later."""
    host = storm.some_host()
    if not host.reactor.is_killed:
        storm.site.kill(host)
        storm.site.run(storm.random.uniform(0.1, 2.0))
        storm.site.restart(host)


@fault
def kill_the_owner(storm: Storm) -> None:
    """Kills the owner."""
    owner = storm.site.owner
    if owner is not None:
        storm.site.kill(owner)
        storm.site.run(0.5)
        storm.site.restart(owner)


@fault
def kill_all_hosts(storm: Storm) -> None:
    """Has all entry hosts lose power."""
    hosts = list(storm.site.hosts)
    for host in hosts:
        storm.site.kill(host)
    storm.site.run(storm.random.uniform(0.5, 8.0))
    for host in hosts:
        storm.site.restart(host)


@fault
def freeze_the_owner(storm: Storm) -> None:
    """Freezes the owner for seconds."""
    owner = storm.site.owner
    if owner is not None:
        owner.reactor.freeze()
        storm.site.run(storm.random.uniform(0.5, 5.0))
        owner.reactor.thaw()


@fault
def break_a_path_to_the_store(storm: Storm) -> None:
    """Breaks an entry host's path to the store, or mends it."""
    storm.some_host().store.path = storm.random.choice(list(Path))


@fault
def stop_the_store(storm: Storm) -> None:
    """Takes the store down for a while; leases stand still or run on."""
    storm.site.store.leases_stand_still = storm.random.random() < 0.5
    storm.site.set_store_path(storm.random.choice([Path.SILENT, Path.REFUSED, Path.BUSY]))
    storm.site.run(storm.random.uniform(0.5, 5.0))
    storm.site.set_store_path(Path.SOUND)
    storm.site.store.leases_stand_still = False


@fault
def lose_answers_of_the_store(storm: Storm) -> None:
    """Has writes of an entry host get no answer, some of them taking effect late."""
    host = storm.some_host()
    host.store.lost_answers = storm.random.choice([0.0, 0.3])
    host.store.late_writes = storm.random.choice([0.0, 0.2])


@fault
def forget_the_history(storm: Storm) -> None:
    """Drops the store's history."""
    storm.site.store.forget_history()


@fault
def cut_two_hosts(storm: Storm) -> None:
    """Cuts two entry hosts from each other."""
    one, other = storm.random.sample(storm.site.hosts, 2)
    storm.site.network.cut(one.name, other.name)


@fault
def cut_a_worker(storm: Storm) -> None:
    """Cuts a worker off from all entry hosts, and maybe from the store."""
    name = storm.some_worker()
    for host in storm.site.hosts:
        host.workers.cut.add(name)
    storm.site.workers[name].is_listed = storm.random.random() < 0.5
    storm.site.run(storm.random.uniform(0.5, 9.0))
    for host in storm.site.hosts:
        host.workers.cut.discard(name)
    storm.site.workers[name].is_listed = True


@fault
def restart_a_worker(storm: Storm) -> None:
    """Crashes a worker, which starts anew under its name."""
    storm.site.workers[storm.some_worker()].restart()


@fault
def carry_orders_out_late(storm: Storm) -> None:
    """Has some orders of an entry host get no answer and be carried out late."""
    storm.some_host().workers.late_orders = storm.random.choice([0.0, 0.1])


def _configuration() -> SiteConfiguration:
    queues = tuple(
        Queue(QueueName(name), "site.example", f"/{name}/", POOL, priority=priority, max_failures=3)
        for priority, name in enumerate(("urgent", "normal"))
    )
    return SiteConfiguration(1, queues, (Team(TeamName("studio"), frozenset({"key"}), 16),))


def _workers() -> list[ListedWorker]:
    return [
        ListedWorker(
            WorkerName(f"w{number}"),
            f"10.0.0.{number}:80",
            POOL,
            ZoneName("lagos-island"),
            RackName(f"r{number // RACK_SIZE}"),
            frozenset({"a", f"r{number // RACK_SIZE}"}),
            Resources(64_000, 262_144, 8),
            life=1,
        )
        for number in range(WORKERS)
    ]


def main(arguments: Any = None) -> int:
    """Runs a range of seeds; returns 1 if a promise was broken in any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seeds", type=int, default=20, help="how many seeds")
    options = parser.parse_args(arguments)
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        violations = Storm(seed).run()
        broken += bool(violations)
        for violation in violations:
            print(f"seed {seed}: {violation}")
    print(f"{options.seeds} seeds, {broken} with a broken promise")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
