"""How long an accepted configuration takes to be in force at every entry host.

Run as ``python -m benchmarks.control_convergence``; virtual time, loads as stated in the output.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import structlog

from result import Ok

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import set_default
from jujubehall.services.peer_monitor import HEARTBEAT_INTERVAL_MS
from jujubehall.services.timing import start
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.errors import Failure

SIZES = (8, 16)
CHANGES = 30
DAILY_INTERVAL_MS = 48_000
BURST_INTERVAL_MS = 150
FAULT_INTERVAL_MS = 6_000
BOUND_MS = 19_000
SETTLE_MS = 60_000
ERROR_LEVEL = 50


def calm(site: OwnershipSite) -> None:
    """Disturbs nothing."""


def cut_off(site: OwnershipSite) -> None:
    """Cuts all but one entry host off from the platform just before the change."""
    for host in site.live[1:]:
        site.network.cut(host.name, PLATFORM)


def outage_after(site: OwnershipSite) -> None:
    """Lets an outage of all follow the change; only one host has seen it."""
    cut_off(site)


def restart(site: OwnershipSite) -> None:
    """Restarts an entry host just before the change."""
    host = site.live[-1]
    host.reactor.kill()
    site.start_host(int(host.name.rsplit("-", 1)[1]))


def pause(site: OwnershipSite) -> None:
    """Pauses an entry host; the time counts from its wake-up."""
    site.live[-1].reactor.freeze()


SCENARIOS: dict[str, tuple[Callable[[OwnershipSite], None], int]] = {
    "calm, one each 48 s": (calm, DAILY_INTERVAL_MS),
    "calm, burst": (calm, BURST_INTERVAL_MS),
    "cut off from the platform": (cut_off, FAULT_INTERVAL_MS),
    "outage after the write": (outage_after, FAULT_INTERVAL_MS),
    "entry host restarted": (restart, FAULT_INTERVAL_MS),
    "entry host paused 10 s": (pause, FAULT_INTERVAL_MS),
}


def main() -> None:
    """Prints a line for each scenario and size."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(ERROR_LEVEL))
    print(f"{'scenario':28} hosts changes  median ms  p99 ms  max ms  (bound {BOUND_MS})")
    for size in SIZES:
        for name, (disturb, interval_ms) in SCENARIOS.items():
            times = sorted(measure(size, name, disturb, interval_ms))
            median = times[len(times) // 2]
            p99 = times[int(0.99 * (len(times) - 1))]
            print(f"{name:28} {size:5} {len(times):7} {median:10} {p99:7} {times[-1]:7}")


def measure(
    size: int, name: str, disturb: Callable[[OwnershipSite], None], interval_ms: int
) -> list[int]:
    """Makes the changes of one scenario; returns the time of each until it is in force."""
    site = OwnershipSite(size, seed=1)
    site.run_until(site.is_settled, SETTLE_MS)
    times = []
    for number in range(1, CHANGES + 1):
        # Spread over the phases of the heartbeats, which all hosts send at the same moments here.
        site.run_for(interval_ms + site.random.randrange(HEARTBEAT_INTERVAL_MS))
        disturb(site)
        expected = _accept(site, number)
        if name.startswith("outage"):
            site.network.platform_down = True
            site.network.join_all()
        if name.startswith("entry host paused"):
            site.run_for(10_000)
            for host in site.live:
                host.reactor.thaw()
        times.append(site.run_until(lambda: _in_force(site, expected), SETTLE_MS))  # noqa: B023
        site.network.join_all()
        site.network.platform_down = False
    return times


def _accept(site: OwnershipSite, number: int) -> int:
    service = site.live[0].configuration
    author = ChangeAuthor("bench", "measurement", f"token-{number}", 0)

    def change(current: Configuration) -> Result[Configuration, Failure]:
        return set_default(current, author, "endpoint_slots", 1 + number)

    results: list[Any] = []
    start(service.change(service.current.number, change)).addCallback(results.append)
    site.run_until(lambda: bool(results), SETTLE_MS)
    assert isinstance(results[0], Ok), results[0]
    number_in_force: int = results[0].ok_value.number
    return number_in_force


def _in_force(site: OwnershipSite, number: int) -> bool:
    return all(host.configuration.current.number >= number for host in site.live)


if __name__ == "__main__":
    main()
