"""What operators do: change the configuration, sometimes two at the same moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import set_default
from jujubehall.services.timing import start
from jujubehall.testing.randomised.registry import action
from jujubehall.testing.randomised.step import Step
from jujubehall.testing.randomised.world import AcceptedChange

if TYPE_CHECKING:
    from random import Random

    from jujubehall.testing.randomised.world import World

KEY = "fragmentation_weight"
PERCENT = 100
MAX_PAUSE_MS = 500


def _plan_change(world: World, random: Random) -> Step:
    host = random.choice(world.running_hosts).name
    token = world.next_name("change")
    pause_ms = random.randint(0, MAX_PAUSE_MS)
    return Step("change configuration", pause_ms, token, host, random.randint(0, PERCENT))


def _plan_race(world: World, random: Random) -> Step | None:
    if len(world.running_hosts) < 2:
        return None
    one, other = random.sample(world.running_hosts, 2)
    token = world.next_name("race")
    hosts = f"{one.name},{other.name}"
    pause_ms = random.randint(0, MAX_PAUSE_MS)
    return Step("race operators", pause_ms, token, hosts, random.randint(0, PERCENT))


@action("change configuration", 4, _plan_change)
def change_configuration(world: World, step: Step) -> None:
    """Changes one default, on the ground of what the entry host shows."""
    _change(world, step.target, step.other, step.amount)


@action("race operators", 2, _plan_race)
def race_operators(world: World, step: Step) -> None:
    """Two operators change the same default through two entry hosts at the same moment."""
    for number, host in enumerate(step.other.split(",")):
        _change(world, f"{step.target}/{number}", host, (step.amount + number) % PERCENT)


def _change(world: World, token: str, host_name: str, percent: int) -> None:
    host = world.host(host_name)
    author = ChangeAuthor("operator", "randomised run", token, world.site.clock.now_ms)

    def change() -> None:
        service = host.host.configuration
        changed = service.change(
            service.current.number,
            lambda current: set_default(current, author, KEY, percent / PERCENT),
        )
        start(changed).addCallback(note)

    def note(answer: object) -> None:
        if isinstance(answer, Ok):
            number = next(e.number for e in answer.ok_value.audit if e.token == token)
            world.accepted_changes.append(AcceptedChange(token, number))

    host.reactor.callLater(0, change)
