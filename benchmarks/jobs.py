"""Compares versions of the scheduling policy on seeded traces.

Run it with ``python -m benchmarks.jobs --seeds 10 --site ogechi``. Each figure is the median over
the seeds, followed by the lowest and the highest value.
"""

from __future__ import annotations

import argparse
import statistics
import time

from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING

import msgspec

from benchmarks.jobs_baseline import FirstComeFirstFit
from benchmarks.jobs_replay import Outcome
from benchmarks.jobs_replay import Replay
from benchmarks.jobs_replay import ReplayedPolicy
from benchmarks.jobs_trace import HOUR_MS
from benchmarks.jobs_trace import SITES
from benchmarks.jobs_trace import make_trace
from jujubehall.core.jobs.policy import Policy
from jujubehall.core.jobs.policy_options import PolicyOptions

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PROCESSES = 2

VERSIONS: dict[str, Callable[[], ReplayedPolicy]] = {
    "first-fit": FirstComeFirstFit,
    "guarantees": lambda: Policy(
        PolicyOptions(
            use_learned_run_times=False,
            max_reservations=0,
            use_priority_order=False,
            move_jobs=False,
        )
    ),
    "reserving": lambda: Policy(PolicyOptions(delay_reservations=False, move_jobs=False)),
    "patient": lambda: Policy(PolicyOptions(move_jobs=False)),
    "shipped": Policy,
}


PAIRED_FIGURES = (
    "completion p50 h",
    "completion p99 h",
    "slowdown mean",
    "large wait mean h",
    "large wait p99 h",
)


class ReplayTask(msgspec.Struct, frozen=True):
    """The parameters of one replay."""

    version: str
    site: str
    seed: int
    utilisation: float
    weight: float | None


def replay(task: ReplayTask) -> dict[str, float]:
    """Replays one trace and returns its figures by name."""
    site = SITES[task.site]
    if task.weight is not None:
        site = msgspec.structs.replace(site, fragmentation_weight=task.weight)
    trace = make_trace(site, task.seed, task.utilisation)
    policies = [VERSIONS[task.version]() for _ in site.zones]
    started = time.process_time()
    outcome = Replay(site, trace, policies).run()
    return {**_figures(outcome), "cpu s": time.process_time() - started}


def _figures(outcome: Outcome) -> dict[str, float]:
    return {
        "completion p50 h": _quantile(outcome.completion_times_ms, 0.5) / HOUR_MS,
        "completion p99 h": _quantile(outcome.completion_times_ms, 0.99) / HOUR_MS,
        "slowdown mean": statistics.mean(outcome.slowdowns),
        "slowdown p99": _quantile(outcome.slowdowns, 0.99),
        "large wait p50 h": _quantile(outcome.large_gang_waits_ms, 0.5) / HOUR_MS,
        "large wait mean h": statistics.mean(outcome.large_gang_waits_ms or [0]) / HOUR_MS,
        "large wait p99 h": _quantile(outcome.large_gang_waits_ms, 0.99) / HOUR_MS,
        "block / free": outcome.block_share_sum / max(1, outcome.block_share_ms),
        "unusable share": outcome.unusable_sum / max(1, outcome.unusable_ms),
        "gang waits h": outcome.block_share_ms / HOUR_MS,
        "urgent wait max s": max(outcome.urgent_waits_ms, default=0) / 1_000,
        "reclaim p99 s": _quantile(outcome.reclaim_waits_ms, 0.99) / 1_000,
        "reclaim max s": max(outcome.reclaim_waits_ms, default=0) / 1_000,
        "lost acc. h": outcome.lost_accelerator_ms / HOUR_MS,
        "preemptions": outcome.preemptions,
        "moves": outcome.moves,
        "refused": outcome.refused,
        "never ran": outcome.never_ran,
    }


def _quantile(values: list[int] | list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] if ordered else 0.0


def main() -> None:
    """Prints the tables for each utilisation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--site", choices=sorted(SITES), default="ogechi")
    parser.add_argument("--utilisations", type=float, nargs="+", default=[0.7, 0.95])
    parser.add_argument("--versions", nargs="+", choices=sorted(VERSIONS), default=list(VERSIONS))
    parser.add_argument(
        "--weight", type=float, help="overrides the fragmentation weight of the site"
    )
    arguments = parser.parse_args()
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        for utilisation in arguments.utilisations:
            print(f"{arguments.site}, utilisation {utilisation}, {arguments.seeds} seeds")
            results = {}
            for version in arguments.versions:
                tasks = [
                    ReplayTask(version, arguments.site, seed, utilisation, arguments.weight)
                    for seed in range(1, arguments.seeds + 1)
                ]
                results[version] = list(pool.map(replay, tasks))
            _print_table(results)
            _print_pairs(results)


def _print_pairs(results: dict[str, list[dict[str, float]]]) -> None:
    """Compares each version with the second one, seed by seed.

    Prints the median ratio and how many seeds have a lower and a higher figure.
    """
    base = list(results.values())[min(1, len(results) - 1)]
    print("paired with " + list(results)[min(1, len(results) - 1)])
    for version, figures in results.items():
        cells = []
        for name in PAIRED_FIGURES:
            pairs = [(f[name], b[name]) for f, b in zip(figures, base, strict=True)]
            ratios = [value / base_value for value, base_value in pairs if base_value > 0]
            lower = sum(1 for value, base_value in pairs if value < base_value)
            higher = sum(1 for value, base_value in pairs if value > base_value)
            cells.append(f"{name} x{statistics.median(ratios or [1.0]):.2f} {lower}:{higher}")
        print(f"  {version}: " + ", ".join(cells))


def _print_table(results: dict[str, list[dict[str, float]]]) -> None:
    names = list(next(iter(results.values()))[0])
    print("| measure | " + " | ".join(results) + " |")
    print("|---|" + "---|" * len(results))
    for name in names:
        cells = []
        for figures in results.values():
            values = [figure[name] for figure in figures]
            median = statistics.median(values)
            cells.append(f"{median:.2f} ({min(values):.2f}-{max(values):.2f})")
        print(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
