"""Randomised tests of how long a change of the configuration takes to be in use everywhere.

The owner of the site fails at many moments around the changes, while open connections to the store
go silent, answers are late and the store discards its history.

``python -m jujubehall.testing.virtual.fleet.configuration_delays --seeds 50`` runs seeds 0 to 49 and
prints the invariant violations of each.
"""

from __future__ import annotations

import sys

from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec

from jujubehall.clock import MS_PER_SECOND
from jujubehall.testing.virtual.fleet.fault_simulation import make_configuration
from jujubehall.testing.virtual.fleet.fault_simulation import make_workers
from jujubehall.testing.virtual.fleet.fault_simulation import run_seeds
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.testing.virtual.fleet.site import VirtualHost

HOST_COUNT = 5
CHANGE_COUNT = 15
MAX_DELAY_MS = 2_000
"""Time from the acknowledgement of a change until every entry host must use it."""

CONTACT_MS = 3_000
"""Time after its own disruption from which an entry host must keep ``MAX_DELAY_MS`` again."""

SILENCE_SPACING_S = 2.0
"""Shortest time between two moments at which the same entry host's connections go silent."""

MAX_OFFSET_S = 0.8
"""Longest time between a change and a failure of the owner, before or after it."""

MAX_EXTRA_LATENCY_MS = 250
CHECK_INTERVAL_S = 0.05

_owner_failures: list[Callable[[ConfigurationDelays, VirtualHost], Callable[[], None]]] = []


def owner_failure(
    action: Callable[[ConfigurationDelays, VirtualHost], Callable[[], None]],
) -> Callable[[ConfigurationDelays, VirtualHost], Callable[[], None]]:
    """Registers the decorated function, which lets the owner fail and returns how to end that."""
    _owner_failures.append(action)
    return action


class ConfigurationDelays:
    """One run of the test; all random choices derive from ``seed``."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.site = VirtualFleet(make_configuration(), make_workers(), HOST_COUNT, seed)
        self._events: list[tuple[float, Callable[[], None]]] = []
        self._acknowledged_ms: dict[int, float] = {}
        self._disrupted_until_s: dict[VirtualHost, float] = {}
        self._highest_versions: dict[VirtualHost, int] = {}
        self._silenced_s: dict[str, float] = {}
        self._violations: list[str] = []

    def run(self) -> list[str]:
        """Changes the configuration while the owner fails; returns the invariant violations."""
        self.site.run_until(lambda: self.site.owner is not None, 10.0)
        self.site.run(1.0)
        change_s = self._now_s + MAX_OFFSET_S
        for version in range(2, CHANGE_COUNT + 2):
            self._schedule_change(change_s, version)
            change_s += self.random.choice([0.4, self.random.uniform(0.5, 4.0)])
        end_s = change_s + (MAX_DELAY_MS + CONTACT_MS) / MS_PER_SECOND
        while self._now_s < end_s:
            while self._events and self._events[0][0] <= self._now_s:
                self._events.pop(0)[1]()
            self.site.run(CHECK_INTERVAL_S)
            self._check()
        return self._violations

    @property
    def _now_s(self) -> float:
        return self.site.time.seconds()

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Adds an action that is carried out at a time, or at once if that has passed."""
        self._events.append((at_s, action))
        self._events.sort(key=lambda event: event[0])

    def note_disruption(self, host: VirtualHost, is_over: bool) -> None:
        """Exempts a host from the time limit during its own disruption and shortly after it."""
        end_s = self._now_s + CONTACT_MS / MS_PER_SECOND if is_over else float("inf")
        self._disrupted_until_s[host] = end_s

    def _schedule_change(self, at_s: float, version: int) -> None:
        self.schedule(at_s, partial(self._change, version))
        if self.random.random() < 0.8:
            offset_s = self.random.uniform(-MAX_OFFSET_S, MAX_OFFSET_S)
            self.schedule(at_s + offset_s, self._fail_owner)
        for number in range(HOST_COUNT):
            if self.random.random() < 0.5:
                silence_s = at_s + self.random.uniform(-1.5, 0.5)
                self.schedule(silence_s, partial(self._silence, number))
        if self.random.random() < 0.3:
            self.schedule(at_s + self.random.uniform(-1.0, 1.0), self._delay_answers)
        if self.random.random() < 0.3:
            self.schedule(at_s + self.random.uniform(-1.0, 0.0), self.site.store.compact_history)

    def _change(self, version: int) -> None:
        configuration = msgspec.structs.replace(make_configuration(), version=version)
        self.site.configure(configuration)
        self._acknowledged_ms[version] = self._now_s * MS_PER_SECOND

    def _fail_owner(self) -> None:
        owner = self.site.owner
        if owner is None or self._now_s <= self._disrupted_until_s.get(owner, 0.0):
            return
        heal = self.random.choice(_owner_failures)(self, owner)
        self.schedule(self._now_s + self.random.uniform(0.3, 4.0), heal)

    def _silence(self, number: int) -> None:
        host = self.site.hosts[number]
        if self._now_s - self._silenced_s.get(host.name, 0.0) >= SILENCE_SPACING_S:
            self._silenced_s[host.name] = self._now_s
            host.store.silence_connections()

    def _delay_answers(self) -> None:
        host = self.random.choice(self.site.hosts)
        host.store.extra_latency_ms = self.random.randint(1, MAX_EXTRA_LATENCY_MS)

    def _check(self) -> None:
        now_ms = self._now_s * MS_PER_SECOND
        due = [
            version
            for version, acknowledged_ms in self._acknowledged_ms.items()
            if now_ms - acknowledged_ms > MAX_DELAY_MS
        ]
        for host in self.site.hosts:
            if host.reactor.is_killed or host.reactor.is_suspended:
                continue
            version = host.site_host.configuration.version
            if version < self._highest_versions.get(host, 0):
                self._violations.append(f"{host.name} went back to {version} at {self._now_s:.2f}")
            self._highest_versions[host] = version
            # An entry host without a configuration refuses all calls as not run.
            is_late = 0 < version < max(due, default=0)
            if is_late and self._now_s > self._disrupted_until_s.get(host, 0.0):
                self._violations.append(
                    f"{host.name} has version {version} at {self._now_s:.2f}, "
                    f"{max(due)} was acknowledged at {self._acknowledged_ms[max(due)]:.0f} ms"
                )


@owner_failure
def kill_owner(delays: ConfigurationDelays, owner: VirtualHost) -> Callable[[], None]:
    """Kills the owner, whose connections hang as after a loss of power."""
    for other in delays.site.hosts:
        delays.site.network.disconnect(owner.name, other.name)
    owner.reactor.suspend()
    delays.note_disruption(owner, is_over=False)

    def restart() -> None:
        owner.reactor.kill()
        for other in delays.site.hosts:
            delays.site.network.reconnect(owner.name, other.name)
        delays.site.restart(owner)

    return restart


@owner_failure
def suspend_owner(delays: ConfigurationDelays, owner: VirtualHost) -> Callable[[], None]:
    """Suspends the process of the owner."""
    owner.reactor.suspend()
    delays.note_disruption(owner, is_over=False)

    def resume() -> None:
        owner.reactor.resume()
        delays.note_disruption(owner, is_over=True)

    return resume


@owner_failure
def disconnect_owner(delays: ConfigurationDelays, owner: VirtualHost) -> Callable[[], None]:
    """Disconnects the owner from the other entry hosts; it still reaches the store."""
    for other in delays.site.hosts:
        delays.site.network.disconnect(owner.name, other.name)

    def reconnect() -> None:
        for other in delays.site.hosts:
            delays.site.network.reconnect(owner.name, other.name)

    return reconnect


@owner_failure
def silence_store(delays: ConfigurationDelays, owner: VirtualHost) -> Callable[[], None]:
    """Lets the store answer the other entry hosts only."""
    owner.store.fault_mode = StoreFaultMode.NO_RESPONSE
    delays.note_disruption(owner, is_over=False)

    def answer() -> None:
        owner.store.fault_mode = StoreFaultMode.NONE
        delays.note_disruption(owner, is_over=True)

    return answer


if __name__ == "__main__":
    sys.exit(run_seeds(ConfigurationDelays))
