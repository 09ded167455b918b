"""Measures how long an accepted configuration takes to be in force at every entry host.

Run it with ``python -m benchmarks.control_convergence``. It runs in virtual time, and the output
states the load of each scenario.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import structlog

from result import Ok

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import set_default
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.peer_monitor import HEARTBEAT_INTERVAL_MS
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.errors import Failure

ENTRY_HOST_COUNTS = (8, 16)
CHANGES = 30
DAILY_INTERVAL_MS = 48_000
BURST_INTERVAL_MS = 150
FAULT_INTERVAL_MS = 6_000
CONVERGENCE_BOUND_MS = 19_000
SETTLE_TIMEOUT_MS = 60_000
CRITICAL_LOG_LEVEL = 50


def inject_nothing(site: OwnershipSite) -> None:
    """Causes no fault."""


def disconnect_from_platform(site: OwnershipSite) -> None:
    """Disconnects all entry hosts but one from the platform just before the change."""
    for host in site.live_hosts[1:]:
        site.network.disconnect(host.name, PLATFORM)


def prepare_outage(site: OwnershipSite) -> None:
    """Prepares a platform outage that follows the change when only one entry host has read it."""
    disconnect_from_platform(site)


def restart_entry_host(site: OwnershipSite) -> None:
    """Restarts an entry host just before the change."""
    host = site.live_hosts[-1]
    host.reactor.kill()
    site.start_host(int(host.name.rsplit("-", 1)[1]))


def suspend_entry_host(site: OwnershipSite) -> None:
    """Suspends an entry host; the measured time starts when it resumes."""
    site.live_hosts[-1].reactor.suspend()


SCENARIOS: dict[str, tuple[Callable[[OwnershipSite], None], int]] = {
    "calm, one each 48 s": (inject_nothing, DAILY_INTERVAL_MS),
    "calm, burst": (inject_nothing, BURST_INTERVAL_MS),
    "cut off from the platform": (disconnect_from_platform, FAULT_INTERVAL_MS),
    "outage after the write": (prepare_outage, FAULT_INTERVAL_MS),
    "entry host restarted": (restart_entry_host, FAULT_INTERVAL_MS),
    "entry host paused 10 s": (suspend_entry_host, FAULT_INTERVAL_MS),
}


def main() -> None:
    """Prints one line for each scenario and number of entry hosts."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(CRITICAL_LOG_LEVEL))
    print(
        f"{'scenario':28} hosts changes  median ms  p99 ms  max ms  (bound {CONVERGENCE_BOUND_MS})"
    )
    for size in ENTRY_HOST_COUNTS:
        for name, (inject_fault, interval_ms) in SCENARIOS.items():
            durations_ms = sorted(measure(size, name, inject_fault, interval_ms))
            median = durations_ms[len(durations_ms) // 2]
            p99 = durations_ms[int(0.99 * (len(durations_ms) - 1))]
            print(
                f"{name:28} {size:5} {len(durations_ms):7} {median:10} {p99:7} {durations_ms[-1]:7}"
            )


def measure(
    size: int, name: str, inject_fault: Callable[[OwnershipSite], None], interval_ms: int
) -> list[int]:
    """Makes the changes of one scenario; returns how long each took to be in force, in ms."""
    site = OwnershipSite(size, seed=1)
    site.run_until(site.has_converged, SETTLE_TIMEOUT_MS)
    durations_ms = []
    for change_number in range(1, CHANGES + 1):
        # Here all hosts send heartbeats at the same times, so the changes are spread
        # over the heartbeat interval.
        site.run_for(interval_ms + site.random.randrange(HEARTBEAT_INTERVAL_MS))
        inject_fault(site)
        expected = _make_change(site, change_number)
        if name.startswith("outage"):
            site.network.is_platform_down = True
            site.network.reconnect_all()
        if name.startswith("entry host paused"):
            site.run_for(10_000)
            for host in site.live_hosts:
                host.reactor.resume()
        durations_ms.append(
            site.run_until(lambda: _is_in_force(site, expected), SETTLE_TIMEOUT_MS)  # noqa: B023
        )
        site.network.reconnect_all()
        site.network.is_platform_down = False
    return durations_ms


def _make_change(site: OwnershipSite, change_number: int) -> int:
    service = site.live_hosts[0].configuration
    author = ChangeAuthor("bench", "measurement", f"token-{change_number}", 0)

    def change(current: Configuration) -> Result[Configuration, Failure]:
        return set_default(current, author, "endpoint_slots", 1 + change_number)

    results: list[Any] = []
    run_in_background(service.change(service.current.number, change)).addCallback(results.append)
    site.run_until(lambda: bool(results), SETTLE_TIMEOUT_MS)
    assert isinstance(results[0], Ok), results[0]
    number_in_force: int = results[0].ok_value.number
    return number_in_force


def _is_in_force(site: OwnershipSite, number: int) -> bool:
    return all(host.configuration.current.number >= number for host in site.live_hosts)


if __name__ == "__main__":
    main()
