"""Counts the calls to the platform by kind, at rest and after an outage, in virtual time.

Run it with ``python -m benchmarks.control_platform_calls``.
"""

from __future__ import annotations

from itertools import pairwise

import structlog

from jujubehall.services import async_utils
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

ENTRY_HOST_COUNTS = (8, 16, 24)
ENTRY_HOSTS_WITHOUT_JITTER = 16
IDLE_S = 15
OUTAGE_S = 30
RECOVERY_S = 12
MS_PER_SECOND = 1_000
WINDOW_MS = 100
STARTUP_S = 12
CRITICAL_LOG_LEVEL = 50
WRITES = ("put", "delete", "grant lease", "renew lease", "revoke lease")


def main() -> None:
    """Prints the calls per second at rest by kind, and the peak after an outage."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(CRITICAL_LOG_LEVEL))
    for size in ENTRY_HOST_COUNTS:
        site = _site(size)
        site.run_for(STARTUP_S * MS_PER_SECOND)
        calls_before = _calls_by_kind(site)
        site.run_for(IDLE_S * MS_PER_SECOND)
        calls_per_s = {
            k: (v - calls_before.get(k, 0)) / IDLE_S for k, v in _calls_by_kind(site).items()
        }
        shown = ", ".join(
            f"{kind} {rate:.1f}" for kind, rate in sorted(calls_per_s.items()) if rate
        )
        writes = sum(calls_per_s.get(kind, 0) for kind in WRITES)
        print(f"{size} hosts, calls/s at rest: {shown}; writes {writes:.1f}, ", end="")
        print(f"reads {sum(calls_per_s.values()) - writes:.1f}, waiting watches {size}")
        print(f"{size} hosts, {OUTAGE_S} s outage: {_describe_outage(site)}")
    original = async_utils.BackOff.next_delay_ms
    async_utils.BackOff.next_delay_ms = _next_back_off_without_jitter_ms  # type: ignore[method-assign]
    site = _site(ENTRY_HOSTS_WITHOUT_JITTER)
    site.run_for((STARTUP_S + IDLE_S) * MS_PER_SECOND)
    print(
        f"{ENTRY_HOSTS_WITHOUT_JITTER} hosts, back-off without jitter, "
        f"{OUTAGE_S} s outage: {_describe_outage(site)}"
    )
    async_utils.BackOff.next_delay_ms = original  # type: ignore[method-assign]


def _describe_outage(site: VirtualSite) -> str:
    site.network.is_platform_down = True
    calls_before = sum(_calls_by_kind(site).values())
    site.run_for(OUTAGE_S * MS_PER_SECOND)
    rate_during_outage = (sum(_calls_by_kind(site).values()) - calls_before) / OUTAGE_S
    site.network.is_platform_down = False
    cumulative_calls = [sum(_calls_by_kind(site).values())]
    for _ in range(RECOVERY_S * MS_PER_SECOND // WINDOW_MS):
        site.run_for(WINDOW_MS)
        cumulative_calls.append(sum(_calls_by_kind(site).values()))
    calls_per_window = [later - earlier for earlier, later in pairwise(cumulative_calls)]
    windows_per_second = MS_PER_SECOND // WINDOW_MS
    calls_in_each_second = [
        sum(calls_per_window[n : n + windows_per_second])
        for n in range(len(calls_per_window) - windows_per_second + 1)
    ]
    return (
        f"{rate_during_outage:.1f} calls/s during it, peak {max(calls_in_each_second)} in a second "
        f"and {max(calls_per_window)} in {WINDOW_MS} ms after it"
    )


def _calls_by_kind(site: VirtualSite) -> dict[str, int]:
    total: dict[str, int] = {}
    for host in site.hosts.values():
        for kind, count in host.platform.calls.items():
            total[kind] = total.get(kind, 0) + count
    return total


def _site(size: int) -> VirtualSite:
    zones = tuple(f"zone-{number}" for number in range(8))
    capacity = Resources(8, 60, 250)
    return VirtualSite(SiteFile(zones, size, 8, 16, 2, capacity, 20_000), seed=1)


def _next_back_off_without_jitter_ms(self: async_utils.BackOff) -> int:
    delay_ms = self._bound_ms
    self._bound_ms = min(2 * self._bound_ms, async_utils.MAX_BACK_OFF_MS)
    return delay_ms


if __name__ == "__main__":
    main()
