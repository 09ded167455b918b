"""Operator actions: configuration changes, including concurrent ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import set_default
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.randomised.registry import action
from jujubehall.testing.randomised.simulation import AcceptedChange
from jujubehall.testing.randomised.step import Step

if TYPE_CHECKING:
    from random import Random

    from jujubehall.testing.randomised.simulation import Simulation

CHANGED_SETTING = "fragmentation_weight"
PERCENT = 100
MAX_PAUSE_MS = 500


def _plan_change(simulation: Simulation, random: Random) -> Step:
    host = random.choice(simulation.running_hosts).name
    token = simulation.unique_name("change")
    pause_ms = random.randint(0, MAX_PAUSE_MS)
    return Step("change configuration", pause_ms, token, host, random.randint(0, PERCENT))


def _plan_concurrent_changes(simulation: Simulation, random: Random) -> Step | None:
    if len(simulation.running_hosts) < 2:
        return None
    first, second = random.sample(simulation.running_hosts, 2)
    token = simulation.unique_name("race")
    hosts = f"{first.name},{second.name}"
    pause_ms = random.randint(0, MAX_PAUSE_MS)
    return Step("race operators", pause_ms, token, hosts, random.randint(0, PERCENT))


@action("change configuration", 4, _plan_change)
def change_configuration(simulation: Simulation, step: Step) -> None:
    """Changes one default, starting from the configuration that the entry host has in force."""
    _submit_change(simulation, step.target, step.other, step.amount)


@action("race operators", 2, _plan_concurrent_changes)
def change_configuration_concurrently(simulation: Simulation, step: Step) -> None:
    """Submits two changes of the same default through two entry hosts at the same time."""
    for number, host in enumerate(step.other.split(",")):
        _submit_change(
            simulation, f"{step.target}/{number}", host, (step.amount + number) % PERCENT
        )


def _submit_change(simulation: Simulation, token: str, host_name: str, percent: int) -> None:
    host = simulation.host(host_name)
    author = ChangeAuthor("operator", "randomised run", token, simulation.site.clock.now_ms)

    def submit() -> None:
        service = host.entry_host.configuration
        change = service.change(
            service.current.number,
            lambda current: set_default(current, author, CHANGED_SETTING, percent / PERCENT),
        )
        run_in_background(change).addCallback(record_result)

    def record_result(result: object) -> None:
        if isinstance(result, Ok):
            number = next(entry.number for entry in result.ok_value.audit if entry.token == token)
            simulation.accepted_changes.append(AcceptedChange(token, number))

    host.reactor.callLater(0, submit)
