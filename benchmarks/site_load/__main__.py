"""Replays days of heavy load against the current scheduling and first come, first fit.

``python -m benchmarks.site_load --site ogechi --seeds 10 --keep DIR`` prints a table and saves the
figures of each seed in DIR. To measure an earlier version, run the same command with ``PYTHONPATH``
set to its ``src`` and ``--version NAME``. ``--compare DIR`` prints and plots all figures in DIR.
``--admission NAME`` lets a policy refuse jobs; callers return after the time that it names.
``--evacuate`` empties one availability zone for some seconds.
"""

from __future__ import annotations

import argparse

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import msgspec

from benchmarks.site_load.admission import ADMISSIONS
from benchmarks.site_load.baseline import decide_first_fit
from benchmarks.site_load.figures import day_figures
from benchmarks.site_load.intervals import mean_with_interval
from benchmarks.site_load.replay import EVACUATION
from benchmarks.site_load.replay import Replay
from benchmarks.site_load.shapes import LARGE_SITES
from benchmarks.site_load.shapes import SITES
from benchmarks.site_load.shapes import draw_jobs
from jujubehall.core.fleet.state import FleetState

DEFAULT_PROCESSES = 2
ALL_SITES = SITES | LARGE_SITES
FIRST_FIT_VERSION = "first-fit"
SHIPPED_VERSION = "shipped"


class ReplayTask(NamedTuple):
    """The parameters of the replay of one day."""

    site: str
    load: float
    seed: int
    version: str
    admission: str | None = None
    evacuates: bool = False


def replay(task: ReplayTask) -> dict[str, float]:
    """Replays one day and returns its figures by name."""
    site = ALL_SITES[task.site]
    policy = (
        decide_first_fit if task.version == FIRST_FIT_VERSION else FleetState.run_scheduling_round
    )
    jobs = draw_jobs(site, task.load, task.seed)
    evacuation = EVACUATION if task.evacuates else None
    outcome = Replay(site, jobs, policy, task.seed, evacuation=evacuation).replay_day()
    if task.admission is None:
        return day_figures(outcome)
    admission = ADMISSIONS[task.admission]()
    with_refusals = Replay(site, jobs, policy, task.seed, admission, evacuation).replay_day()
    return day_figures(with_refusals, outcome)


def print_table(figures: dict[str, list[dict[str, float]]]) -> None:
    """Prints a row for each figure and a column for each version: mean and confidence interval."""
    versions = sorted(figures)
    print("| | " + " | ".join(versions) + " |")
    print("|---" * (len(versions) + 1) + "|")
    for name in figures[versions[0]][0]:
        cells = []
        for version in versions:
            mean, half_width = mean_with_interval([day[name] for day in figures[version]])
            cells.append(f"{mean:.3g} ± {half_width:.2g}")
        print(f"| {name} | " + " | ".join(cells) + " |")


def main() -> None:
    """Replays the days and prints their figures, or compares saved figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(ALL_SITES), default="ogechi")
    parser.add_argument("--load", type=float, default=1.18)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--version", default=SHIPPED_VERSION)
    parser.add_argument("--admission", choices=sorted(ADMISSIONS))
    parser.add_argument("--evacuate", action="store_true")
    parser.add_argument("--processes", type=int, default=DEFAULT_PROCESSES)
    parser.add_argument("--keep", type=Path)
    parser.add_argument("--compare", type=Path)
    options = parser.parse_args()
    file_stem = f"{options.site}-{options.load:g}"
    if options.compare is not None:
        saved_figures = {
            path.stem.removeprefix(f"{file_stem}-"): msgspec.json.decode(
                path.read_bytes(), type=list[dict[str, float]]
            )
            for path in sorted(options.compare.glob(f"{file_stem}-*.json"))
        }
        print_table(saved_figures)
        # Plots need the extra "reports".
        from benchmarks.site_load.plots import plot_shares

        plot_shares(
            f"{options.site}, {options.load:g} x load",
            saved_figures,
            options.compare / f"{file_stem}.png",
        )
        return
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    tasks = [
        ReplayTask(
            options.site,
            options.load,
            seed,
            options.version,
            options.admission,
            options.evacuate,
        )
        for seed in seeds
    ]
    with ProcessPoolExecutor(options.processes) as pool:
        figures = list(pool.map(replay, tasks))
    print_table({options.version: figures})
    if options.keep is not None:
        options.keep.mkdir(parents=True, exist_ok=True)
        path = options.keep / f"{file_stem}-{options.version}.json"
        path.write_bytes(msgspec.json.encode(figures))


if __name__ == "__main__":
    main()
