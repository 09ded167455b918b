"""Plots the figures of several versions side by side."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

from benchmarks.site_load.intervals import mean_with_interval

mpl.use("Agg")

from matplotlib import pyplot

if TYPE_CHECKING:
    from pathlib import Path

    Figures = dict[str, list[dict[str, float]]]
    """The figures of each seed, in a list for each version."""


def plot_shares(title: str, figures: Figures, path: Path) -> None:
    """Saves a bar chart of the shares of jobs and of credit with their confidence intervals."""
    versions = sorted(figures)
    names = [
        name
        for name in figures[versions[0]][0]
        if name.endswith("in time") or name in ("credit share", "worst window")
    ]
    width = 0.8 / len(versions)
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for position, version in enumerate(versions):
        intervals = [mean_with_interval([day[name] for day in figures[version]]) for name in names]
        axes.bar(
            [number + position * width for number in range(len(names))],
            [mean for mean, _ in intervals],
            width,
            yerr=[half_width for _, half_width in intervals],
            capsize=3,
            label=version,
        )
    axes.set_xticks([number + 0.4 - width / 2 for number in range(len(names))], names, fontsize=8)
    axes.set_ylim(0, 1)
    axes.set_title(title)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
