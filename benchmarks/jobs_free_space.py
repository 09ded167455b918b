"""Weighs what entry hosts should tell each other about free space: all racks or the top k.

Run as ``python -m benchmarks.jobs_free_space``. Each owner of a zone sends its k racks with the
most free accelerators (top k upstream), or a merge keeps only the k best racks of all zones, after
the idea of K. Zhang, M. Sadoghi, V. Muthusamy and H.-A. Jacobsen, "Distributed Ranked Data
Dissemination in Social Networks", Middleware Systems Research Group, 2012. A choice of zone is
wrong if the job can't start in the chosen zone although it could in another one.
"""

from __future__ import annotations

import random

import msgspec

from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import place_gang
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName

ZONES = 8
RACKS = 13
WORKERS_PER_RACK = 8
SEEDS = 10
JOBS = 400
JOBS_PER_REFRESH = 20
SHAPES = ((1, 1), (1, 2), (1, 4), (1, 8), (2, 8), (4, 8), (16, 1), (8, 8), (8, 4))


class RackSpace(msgspec.Struct, frozen=True, array_like=True):
    """What a summary says of one rack."""

    rack: str
    free: int
    whole_workers: int
    largest: int

    def holds(self, spec: JobSpec) -> bool:
        """Whether a job seems to fit."""
        if spec.accelerators_per_part == 8:
            return self.whole_workers >= spec.parts
        wanted = spec.parts * spec.accelerators_per_part
        return self.free >= wanted and self.largest >= spec.accelerators_per_part


Zone = dict[RackName, list[FreeSpace]]
Summary = dict[int, list[RackSpace]]


def make_site(rng: random.Random) -> list[Zone]:
    """Zones that are filled to 85% on average, unevenly."""
    zones = []
    for zone in range(ZONES):
        racks: Zone = {}
        for number in range(RACKS):
            name = RackName(f"z{zone}-r{number:02}")
            busy = rng.uniform(0.6, 1.0)
            racks[name] = [
                FreeSpace(
                    WorkerName(f"{name}-w{n}"),
                    name,
                    0 if rng.random() < busy * 0.75 else rng.choice((1, 2, 4, 8)),
                    130,
                    250,
                    8,
                )
                for n in range(WORKERS_PER_RACK)
            ]
        zones.append(racks)
    return zones


def summarise(zones: list[Zone], k: int, *, merged: bool) -> Summary:
    """The k best racks of each zone, or of all zones together."""
    summary = {}
    for number, racks in enumerate(zones):
        rows = [
            RackSpace(
                name,
                sum(space.accelerators for space in rack),
                sum(1 for space in rack if space.accelerators == 8),
                max(space.accelerators for space in rack),
            )
            for name, rack in racks.items()
        ]
        summary[number] = sorted(rows, key=_rank, reverse=True)[:k]
    if not merged:
        return summary
    best = sorted((row for rows in summary.values() for row in rows), key=_rank, reverse=True)
    kept = {row.rack for row in best[:k]}
    return {zone: [row for row in rows if row.rack in kept] for zone, rows in summary.items()}


def _rank(row: RackSpace) -> tuple[int, int]:
    return row.whole_workers, row.free


def replay(seed: int, k: int, *, merged: bool) -> tuple[float, float]:
    """The wrong choices per job, and the bytes that one host receives at each refresh."""
    rng = random.Random(seed)
    zones = make_site(rng)
    running: list[tuple[JobSpec, list[FreeSpace]]] = []
    wrong = 0
    received = 0
    summary: Summary = {}
    for number in range(JOBS):
        if number % JOBS_PER_REFRESH == 0:
            summary = summarise(zones, k, merged=merged)
            received += len(msgspec.msgpack.encode(list(summary.values())))
        parts, accelerators = rng.choice(SHAPES)
        spec = JobSpec(TeamName("team"), "job", parts, accelerators)
        zone = _choose(summary, spec, rng)
        placed = _place(zones[zone], spec)
        if placed is None:
            wrong += any(_fits(other, spec) for other in zones)
            continue
        running.append((spec, placed))
        if len(running) > JOBS_PER_REFRESH:
            ended, spaces = running.pop(rng.randrange(len(running)))
            for space in spaces:
                space.take(ended, -1)
    return wrong / JOBS, received / (JOBS / JOBS_PER_REFRESH)


def _choose(summary: Summary, spec: JobSpec, rng: random.Random) -> int:
    """A zone drawn from those where a rack seems to hold the job, weighed by their number."""
    fitting = {zone: sum(row.holds(spec) for row in rows) for zone, rows in summary.items()}
    if not any(fitting.values()):
        return rng.randrange(ZONES)
    return rng.choices(list(fitting), list(fitting.values()))[0]


def _fits(racks: Zone, spec: JobSpec) -> bool:
    return place_gang(spec, (space for rack in racks.values() for space in rack)) is not None


def _place(racks: Zone, spec: JobSpec) -> list[FreeSpace] | None:
    spaces = {space.worker: space for rack in racks.values() for space in rack}
    placement = place_gang(spec, spaces.values())
    if placement is None:
        return None
    chosen = [spaces[part.worker] for part in placement]
    for space in chosen:
        space.take(spec)
    return chosen


def main() -> None:
    """Prints wrong choices and bytes for each k."""
    print("| k | wrong, k of each zone | bytes | wrong, k of all zones | bytes |")
    print("|---|---|---|---|---|")
    for k in (1, 2, 3, 5, 8, RACKS, RACKS * ZONES):
        cells = []
        for merged in (False, True):
            results = [replay(seed, k, merged=merged) for seed in range(SEEDS)]
            wrong = [result[0] for result in results]
            size = sum(result[1] for result in results) / SEEDS
            cells.append(
                f"{sum(wrong) / SEEDS:.1%} ({min(wrong):.1%}-{max(wrong):.1%}) | {size:.0f}"
            )
        print(f"| {k if k < RACKS * ZONES else 'all'} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
