"""Failure injection: failures may start at any moment, overlap and repeat."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.services.async_utils import run_in_background
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
    from jujubehall.testing.randomised.simulation import Simulation
    from jujubehall.testing.virtual.site import VirtualEntryHost

MAX_PAUSE_MS = 1_500
STOP_TIMEOUT_MS = 20_000
PERCENT = 100
ENDPOINT_FAULTS = (
    EndpointBehaviour(run_ms=300),
    EndpointBehaviour(late_ms=4_000),
    EndpointBehaviour(cross=True, run_ms=50),
    EndpointBehaviour(truncate=True),
    EndpointBehaviour(fail=True),
)


def _plan_host_failure(name: str, min_ms: int, max_ms: int, *, min_remaining: int = 2) -> Plan:
    """Plans a failure of an entry host that lasts ``min_ms`` to ``max_ms`` milliseconds.

    At least ``min_remaining`` other entry hosts that are neither killed nor suspended remain.
    """

    def plan(simulation: Simulation, random: Random) -> Step | None:
        healthy = [host for host in simulation.running_hosts if not host.reactor.is_suspended]
        if len(healthy) <= min_remaining:
            return None
        target = random.choice(healthy).name
        duration_ms = random.randint(min_ms, max_ms)
        return Step(name, random.randint(0, MAX_PAUSE_MS), target, amount=duration_ms)

    return plan


def _plan_message_loss(name: str, peers: Callable[[Simulation], list[str]], max_ms: int) -> Plan:
    """Plans a loss of all messages between an entry host and a peer, for 1000 to ``max_ms`` ms."""

    def plan(simulation: Simulation, random: Random) -> Step:
        target = random.choice(list(simulation.site.hosts))
        peer = random.choice(peers(simulation))
        duration_ms = random.randint(1_000, max_ms)
        return Step(name, random.randint(0, MAX_PAUSE_MS), target, peer, duration_ms)

    return plan


def _plan_failure(
    name: str, targets: Callable[[Simulation], list[str]], amount_range: tuple[int, int]
) -> Plan:
    """Plans a failure of one of the targets with an amount from an inclusive range."""

    def plan(simulation: Simulation, random: Random) -> Step:
        target = random.choice(targets(simulation))
        pause_ms = random.randint(0, MAX_PAUSE_MS)
        return Step(name, pause_ms, target, amount=random.randint(*amount_range))

    return plan


def _platform_name(simulation: Simulation) -> list[str]:
    return [PLATFORM]


def _host_names(simulation: Simulation) -> list[str]:
    return list(simulation.site.hosts)


def _worker_names(simulation: Simulation) -> list[str]:
    return sorted(simulation.site.workers)


def _endpoint_names(simulation: Simulation) -> list[str]:
    return sorted(simulation.site.endpoints)


@action("kill host", 3, _plan_host_failure("kill host", 500, 15_000), failure=True)
def kill_host(simulation: Simulation, step: Step) -> None:
    """Kills an entry host; a new incarnation of the same name starts ``amount`` ms later."""
    host = simulation.host(step.target)
    host.reactor.kill()
    simulation.schedule(step.amount, lambda: simulation.restart_if_killed(host))


@action("freeze host", 3, _plan_host_failure("freeze host", 500, 25_000), failure=True)
def suspend_host(simulation: Simulation, step: Step) -> None:
    """Suspends an entry host for ``amount`` ms, possibly for longer than all its leases."""
    host = simulation.host(step.target)
    host.reactor.suspend()
    simulation.schedule(step.amount, host.reactor.resume)


@action("stop host", 2, _plan_host_failure("stop host", 500, 5_000), failure=True)
def stop_host(simulation: Simulation, step: Step) -> None:
    """Shuts an entry host down gracefully and starts a new incarnation ``amount`` ms later."""
    host = simulation.host(step.target)

    def exit_process(_: object) -> None:
        for request in sorted(simulation.pending_requests[host]):
            simulation.requests_dropped_by_stops.append(f"{request} at {host.name}")
        host.reactor.kill()
        simulation.schedule(step.amount, lambda: simulation.restart_if_killed(host))

    host.reactor.callLater(0, lambda: _stop(host, exit_process))


def _stop(host: VirtualEntryHost, exit_process: Callable[[object], None]) -> None:
    run_in_background(host.entry_host.stop(STOP_TIMEOUT_MS)).addCallback(exit_process)


@action(
    "cut host from platform",
    3,
    _plan_message_loss("cut host from platform", _platform_name, 25_000),
    failure=True,
)
@action(
    "cut host from host",
    3,
    _plan_message_loss("cut host from host", _host_names, 20_000),
    failure=True,
)
@action(
    "cut host from worker",
    3,
    _plan_message_loss("cut host from worker", _worker_names, 40_000),
    failure=True,
)
@action(
    "cut host from endpoint",
    2,
    _plan_message_loss("cut host from endpoint", _endpoint_names, 9_000),
    failure=True,
)
def drop_messages(simulation: Simulation, step: Step) -> None:
    """Drops all messages between two processes for ``amount`` ms."""
    network = simulation.site.network
    network.disconnect(step.target, step.other)
    simulation.schedule(step.amount, lambda: network.reconnect(step.target, step.other))


@action(
    "platform outage",
    2,
    _plan_failure("platform outage", _platform_name, (500, 40_000)),
    failure=True,
)
def take_platform_down(simulation: Simulation, step: Step) -> None:
    """Makes the platform refuse every call for ``amount`` ms."""
    simulation.site.network.is_platform_down = True
    simulation.schedule(
        step.amount, lambda: setattr(simulation.site.network, "is_platform_down", False)
    )


@action(
    "slow platform", 2, _plan_failure("slow platform", _platform_name, (20, 1_900)), failure=True
)
def delay_platform_responses(simulation: Simulation, step: Step) -> None:
    """Delays each response of the platform by ``amount`` ms for 5 seconds."""
    simulation.site.network.platform_delay_ms = step.amount
    simulation.schedule(5_000, lambda: setattr(simulation.site.network, "platform_delay_ms", 0))


@action("lost answers", 2, _plan_failure("lost answers", _platform_name, (5, 50)), failure=True)
def lose_platform_responses(simulation: Simulation, step: Step) -> None:
    """Drops the responses to ``amount`` percent of the platform's applied writes for 9 seconds."""
    simulation.site.network.response_loss_rate = step.amount / PERCENT
    simulation.schedule(9_000, lambda: setattr(simulation.site.network, "response_loss_rate", 0.0))


@action(
    "endpoint misbehaves",
    3,
    _plan_failure("endpoint misbehaves", _endpoint_names, (0, len(ENDPOINT_FAULTS) - 1)),
    failure=True,
)
def make_endpoint_misbehave(simulation: Simulation, step: Step) -> None:
    """Gives an endpoint the behaviour ``ENDPOINT_FAULTS[amount]`` for 6 seconds.

    Its responses are slow, late, mismatched with their requests, truncated or errors.
    """
    endpoint = simulation.site.endpoints[step.target]
    endpoint.behaviour = ENDPOINT_FAULTS[step.amount]
    simulation.schedule(6_000, lambda: setattr(endpoint, "behaviour", EndpointBehaviour()))


@action(
    "endpoint leaves",
    2,
    _plan_failure("endpoint leaves", _endpoint_names, (2_000, 20_000)),
    failure=True,
)
def make_endpoint_leave(simulation: Simulation, step: Step) -> None:
    """Makes an endpoint refuse work as leaving for ``amount`` ms.

    The list of hosts doesn't show that it is leaving.
    """
    endpoint = simulation.site.endpoints[step.target]
    endpoint.behaviour = EndpointBehaviour(leaving=True)
    simulation.schedule(step.amount, lambda: setattr(endpoint, "behaviour", EndpointBehaviour()))


@action(
    "endpoint down", 2, _plan_failure("endpoint down", _endpoint_names, (500, 6_000)), failure=True
)
def take_endpoint_down(simulation: Simulation, step: Step) -> None:
    """Makes an endpoint refuse connections for ``amount`` ms."""
    endpoint = simulation.site.endpoints[step.target]
    endpoint.is_down = True
    simulation.schedule(step.amount, lambda: setattr(endpoint, "is_down", False))


@action("worker restarts", 2, _plan_failure("worker restarts", _worker_names, (0, 0)), failure=True)
def restart_worker(simulation: Simulation, step: Step) -> None:
    """Restarts a worker, which loses all its tasks."""
    simulation.site.workers[step.target].restart()


@action(
    "worker down", 2, _plan_failure("worker down", _worker_names, (1_000, 60_000)), failure=True
)
def take_worker_down(simulation: Simulation, step: Step) -> None:
    """Makes a worker lose all its tasks and stay unresponsive for ``amount`` ms."""
    worker = simulation.site.workers[step.target]
    worker.fail()
    simulation.schedule(step.amount, lambda: setattr(worker, "is_down", False))


@action(
    "worker fails everything",
    1,
    _plan_failure("worker fails everything", _worker_names, (5_000, 30_000)),
    failure=True,
)
def fail_all_tasks_of_worker(simulation: Simulation, step: Step) -> None:
    """Makes a worker fail every task as soon as it starts, for ``amount`` ms."""
    worker = simulation.site.workers[step.target]
    worker.behaviour = WorkerBehaviour(fail_all=True)
    simulation.schedule(step.amount, lambda: setattr(worker, "behaviour", WorkerBehaviour()))


@action("slow worker", 1, _plan_failure("slow worker", _worker_names, (200, 3_000)), failure=True)
def delay_worker_responses(simulation: Simulation, step: Step) -> None:
    """Delays a worker's responses by ``amount`` ms for 20 seconds."""
    worker = simulation.site.workers[step.target]
    worker.command_delay_ms = step.amount
    simulation.schedule(20_000, lambda: setattr(worker, "command_delay_ms", 0))


@action(
    "older scheduler strays",
    1,
    _plan_failure("older scheduler strays", _worker_names, (1, 8)),
    failure=True,
)
def use_accelerators_as_older_scheduler(simulation: Simulation, step: Step) -> None:
    """Makes the older scheduler use ``amount`` accelerators of a worker for 20 seconds.

    Usage reports show this use only after a delay.
    """
    worker = simulation.site.workers[step.target]
    worker.set_foreign_use(Resources(step.amount))
    simulation.schedule(20_000, lambda: worker.set_foreign_use(Resources(0)))
