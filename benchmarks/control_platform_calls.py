"""Calls to the platform by kind, at rest and after an outage, counted in virtual time.

Run as ``python -m benchmarks.control_platform_calls``.
"""

from __future__ import annotations

from itertools import pairwise

import structlog

from jujubehall.services import timing
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

SIZES = (8, 16, 24)
SIZE_WITHOUT_JITTER = 16
REST_S = 15
OUTAGE_S = 30
RECOVERY_S = 12
SECOND_MS = 1_000
WINDOW_MS = 100
START_S = 12
ERROR_LEVEL = 50
WRITES = ("put", "delete", "grant lease", "renew lease", "revoke lease")


def main() -> None:
    """Prints the calls a second at rest, by kind, and the peak after an outage."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(ERROR_LEVEL))
    for size in SIZES:
        site = _site(size)
        site.run_for(START_S * SECOND_MS)
        before = _calls(site)
        site.run_for(REST_S * SECOND_MS)
        rest = {k: (v - before.get(k, 0)) / REST_S for k, v in _calls(site).items()}
        shown = ", ".join(f"{kind} {rate:.1f}" for kind, rate in sorted(rest.items()) if rate)
        writes = sum(rest.get(kind, 0) for kind in WRITES)
        print(f"{size} hosts, calls/s at rest: {shown}; writes {writes:.1f}, ", end="")
        print(f"reads {sum(rest.values()) - writes:.1f}, waiting watches {size}")
        print(f"{size} hosts, {OUTAGE_S} s outage: {_outage(site)}")
    original = timing.BackOff.next_ms
    timing.BackOff.next_ms = _fixed_back_off  # type: ignore[method-assign]
    site = _site(SIZE_WITHOUT_JITTER)
    site.run_for((START_S + REST_S) * SECOND_MS)
    print(
        f"{SIZE_WITHOUT_JITTER} hosts, back-off without jitter, {OUTAGE_S} s outage: {_outage(site)}"
    )
    timing.BackOff.next_ms = original  # type: ignore[method-assign]


def _outage(site: VirtualSite) -> str:
    site.network.platform_down = True
    before = sum(_calls(site).values())
    site.run_for(OUTAGE_S * SECOND_MS)
    during = (sum(_calls(site).values()) - before) / OUTAGE_S
    site.network.platform_down = False
    counts = [sum(_calls(site).values())]
    for _ in range(RECOVERY_S * SECOND_MS // WINDOW_MS):
        site.run_for(WINDOW_MS)
        counts.append(sum(_calls(site).values()))
    windows = [later - earlier for earlier, later in pairwise(counts)]
    per_second = SECOND_MS // WINDOW_MS
    seconds = [sum(windows[n : n + per_second]) for n in range(len(windows) - per_second + 1)]
    return (
        f"{during:.1f} calls/s during it, peak {max(seconds)} in a second "
        f"and {max(windows)} in {WINDOW_MS} ms after it"
    )


def _calls(site: VirtualSite) -> dict[str, int]:
    total: dict[str, int] = {}
    for host in site.hosts.values():
        for kind, count in host.platform.calls.items():
            total[kind] = total.get(kind, 0) + count
    return total


def _site(size: int) -> VirtualSite:
    zones = tuple(f"zone-{number}" for number in range(8))
    capacity = Resources(8, 60, 250)
    return VirtualSite(SiteFile(zones, size, 8, 16, 2, capacity, 20_000), seed=1)


def _fixed_back_off(self: timing.BackOff) -> int:
    wait_ms = self._bound_ms
    self._bound_ms = min(2 * self._bound_ms, timing.MAX_BACK_OFF_MS)
    return wait_ms


if __name__ == "__main__":
    main()
