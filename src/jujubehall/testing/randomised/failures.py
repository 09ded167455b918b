"""Everything that the brief says may fail, at any moment, together or twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.services.timing import start
from jujubehall.testing.endpoint_stand_in import EndpointBehaviour
from jujubehall.testing.randomised.registry import action
from jujubehall.testing.randomised.step import Step
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.testing.randomised.registry import Plan
    from jujubehall.testing.randomised.world import World
    from jujubehall.testing.virtual.site import VirtualHost

MAX_PAUSE_MS = 1_500
STOP_TIMEOUT_MS = 20_000
PERCENT = 100
BEHAVIOURS = (
    EndpointBehaviour(run_ms=300),
    EndpointBehaviour(late_ms=4_000),
    EndpointBehaviour(cross=True, run_ms=50),
    EndpointBehaviour(truncate=True),
    EndpointBehaviour(fail=True),
)


def _on_host(name: str, least_ms: int, most_ms: int, *, spare: int = 2) -> Plan:
    """Plans a failure of an entry host that leaves at least ``spare`` others running."""

    def plan(world: World, random: Random) -> Step | None:
        healthy = [host for host in world.running_hosts if not host.reactor.is_frozen]
        if len(healthy) <= spare:
            return None
        target = random.choice(healthy).name
        duration_ms = random.randint(least_ms, most_ms)
        return Step(name, random.randint(0, MAX_PAUSE_MS), target, amount=duration_ms)

    return plan


def _between(name: str, others: Callable[[World], list[str]], most_ms: int) -> Plan:
    """Plans a cut between an entry host and something else."""

    def plan(world: World, random: Random) -> Step:
        target = random.choice(list(world.site.hosts))
        other = random.choice(others(world))
        duration_ms = random.randint(1_000, most_ms)
        return Step(name, random.randint(0, MAX_PAUSE_MS), target, other, duration_ms)

    return plan


def _on(name: str, targets: Callable[[World], list[str]], amounts: tuple[int, int]) -> Plan:
    """Plans a failure of one of the targets."""

    def plan(world: World, random: Random) -> Step:
        target = random.choice(targets(world))
        pause_ms = random.randint(0, MAX_PAUSE_MS)
        return Step(name, pause_ms, target, amount=random.randint(*amounts))

    return plan


def _platform(world: World) -> list[str]:
    return [PLATFORM]


def _hosts(world: World) -> list[str]:
    return list(world.site.hosts)


def _workers(world: World) -> list[str]:
    return sorted(world.site.workers)


def _endpoints(world: World) -> list[str]:
    return sorted(world.site.endpoints)


@action("kill host", 3, _on_host("kill host", 500, 15_000), failure=True)
def kill_host(world: World, step: Step) -> None:
    """Kills an entry host; after a while a new incarnation of the same name starts."""
    victim = world.host(step.target)
    victim.reactor.kill()
    world.later(step.amount, lambda: world.restart_if_dead(victim))


@action("freeze host", 3, _on_host("freeze host", 500, 25_000), failure=True)
def freeze_host(world: World, step: Step) -> None:
    """Pauses an entry host, possibly past all its leases."""
    victim = world.host(step.target)
    victim.reactor.freeze()
    world.later(step.amount, victim.reactor.thaw)


@action("stop host", 2, _on_host("stop host", 500, 5_000), failure=True)
def stop_host(world: World, step: Step) -> None:
    """Stops an entry host in the planned way; then a new incarnation starts."""
    host = world.host(step.target)

    def exit_process(_: object) -> None:
        for request in sorted(world.unanswered[host]):
            world.cut_by_stops.append(f"{request} at {host.name}")
        host.reactor.kill()
        world.later(step.amount, lambda: world.restart_if_dead(host))

    host.reactor.callLater(0, lambda: _stop(host, exit_process))


def _stop(host: VirtualHost, exit_process: Callable[[object], None]) -> None:
    start(host.host.stop(STOP_TIMEOUT_MS)).addCallback(exit_process)


@action(
    "cut host from platform", 3, _between("cut host from platform", _platform, 25_000), failure=True
)
@action("cut host from host", 3, _between("cut host from host", _hosts, 20_000), failure=True)
@action("cut host from worker", 3, _between("cut host from worker", _workers, 40_000), failure=True)
@action(
    "cut host from endpoint", 2, _between("cut host from endpoint", _endpoints, 9_000), failure=True
)
def cut(world: World, step: Step) -> None:
    """Loses all messages between two for a while."""
    network = world.site.network
    network.cut(step.target, step.other)
    world.later(step.amount, lambda: network.join(step.target, step.other))


@action("platform outage", 2, _on("platform outage", _platform, (500, 40_000)), failure=True)
def platform_outage(world: World, step: Step) -> None:
    """Has the platform refuse every call for a while."""
    world.site.network.platform_down = True
    world.later(step.amount, lambda: setattr(world.site.network, "platform_down", False))


@action("slow platform", 2, _on("slow platform", _platform, (20, 1_900)), failure=True)
def slow_platform(world: World, step: Step) -> None:
    """Delays each of the platform's answers."""
    world.site.network.platform_delay_ms = step.amount
    world.later(5_000, lambda: setattr(world.site.network, "platform_delay_ms", 0))


@action("lost answers", 2, _on("lost answers", _platform, (5, 50)), failure=True)
def lose_answers(world: World, step: Step) -> None:
    """Loses a share of the platform's answers to writes that took effect, in percent."""
    world.site.network.lost_answer_share = step.amount / PERCENT
    world.later(9_000, lambda: setattr(world.site.network, "lost_answer_share", 0.0))


@action(
    "endpoint misbehaves",
    3,
    _on("endpoint misbehaves", _endpoints, (0, len(BEHAVIOURS) - 1)),
    failure=True,
)
def endpoint_misbehaves(world: World, step: Step) -> None:
    """Has an endpoint answer late, crossed, truncated or with failures for a while."""
    endpoint = world.site.endpoints[step.target]
    endpoint.behaviour = BEHAVIOURS[step.amount]
    world.later(6_000, lambda: setattr(endpoint, "behaviour", EndpointBehaviour()))


@action("endpoint leaves", 2, _on("endpoint leaves", _endpoints, (2_000, 20_000)), failure=True)
def endpoint_leaves(world: World, step: Step) -> None:
    """Has an endpoint refuse work because it is leaving; the list of hosts doesn't say so."""
    endpoint = world.site.endpoints[step.target]
    endpoint.behaviour = EndpointBehaviour(leaving=True)
    world.later(step.amount, lambda: setattr(endpoint, "behaviour", EndpointBehaviour()))


@action("endpoint down", 2, _on("endpoint down", _endpoints, (500, 6_000)), failure=True)
def endpoint_down(world: World, step: Step) -> None:
    """Has an endpoint refuse connections for a while."""
    endpoint = world.site.endpoints[step.target]
    endpoint.down = True
    world.later(step.amount, lambda: setattr(endpoint, "down", False))


@action("worker restarts", 2, _on("worker restarts", _workers, (0, 0)), failure=True)
def worker_restarts(world: World, step: Step) -> None:
    """Restarts a worker, which loses all its tasks."""
    world.site.workers[step.target].restart()


@action("worker down", 2, _on("worker down", _workers, (1_000, 60_000)), failure=True)
def worker_down(world: World, step: Step) -> None:
    """Has a worker fail with all its tasks."""
    worker = world.site.workers[step.target]
    worker.go_down()
    world.later(step.amount, lambda: setattr(worker, "is_down", False))


@action(
    "worker fails everything",
    1,
    _on("worker fails everything", _workers, (5_000, 30_000)),
    failure=True,
)
def worker_fails_everything(world: World, step: Step) -> None:
    """Has a worker fail every task as soon as it starts."""
    worker = world.site.workers[step.target]
    worker.behaviour = WorkerBehaviour(fail_all=True)
    world.later(step.amount, lambda: setattr(worker, "behaviour", WorkerBehaviour()))


@action("slow worker", 1, _on("slow worker", _workers, (200, 3_000)), failure=True)
def slow_worker(world: World, step: Step) -> None:
    """Delays a worker's answers."""
    worker = world.site.workers[step.target]
    worker.answer_delay_ms = step.amount
    world.later(20_000, lambda: setattr(worker, "answer_delay_ms", 0))


@action("older scheduler strays", 1, _on("older scheduler strays", _workers, (1, 8)), failure=True)
def older_scheduler_strays(world: World, step: Step) -> None:
    """Has the older scheduler use accelerators of a worker, which usage reports show late."""
    worker = world.site.workers[step.target]
    worker.set_foreign(Resources(step.amount))
    world.later(20_000, lambda: worker.set_foreign(Resources(0)))
