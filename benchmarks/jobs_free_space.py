"""Compares what entry hosts can send each other about free space: all racks, or the top k.

Run it with ``python -m benchmarks.jobs_free_space``. Either each owner of a zone sends its k racks
with the most free space (top k per zone), or a merge keeps only the top k racks of all zones. The
idea is from K. Zhang, M. Sadoghi, V. Muthusamy and H.-A. Jacobsen, "Distributed Ranked Data
Dissemination in Social Networks", Middleware Systems Research Group, 2012. A choice of zone counts
as wrong if the job can't start in the chosen zone although it could start in another one.
"""

from __future__ import annotations

import random

import msgspec

from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import place_gang
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName

ZONE_COUNT = 8
RACKS_PER_ZONE = 13
WORKERS_PER_RACK = 8
SEED_COUNT = 10
JOB_COUNT = 400
JOBS_PER_REFRESH = 20
SHAPES = ((1, 1), (1, 2), (1, 4), (1, 8), (2, 8), (4, 8), (16, 1), (8, 8), (8, 4))


class RackSpace(msgspec.Struct, frozen=True, array_like=True):
    """Free accelerators of one rack, as a summary reports them."""

    rack: str
    free: int
    whole_workers: int
    largest: int

    def seems_to_fit(self, spec: JobSpec) -> bool:
        """Returns whether the job fits in the rack, judged by the summary alone."""
        if spec.accelerators_per_part == 8:
            return self.whole_workers >= spec.parts
        wanted = spec.parts * spec.accelerators_per_part
        return self.free >= wanted and self.largest >= spec.accelerators_per_part


ZoneRacks = dict[RackName, list[FreeResources]]
Summary = dict[int, list[RackSpace]]


def make_site(rng: random.Random) -> list[ZoneRacks]:
    """Makes the zones of a site with racks at different random loads, 85% on average."""
    zones = []
    for zone in range(ZONE_COUNT):
        racks: ZoneRacks = {}
        for number in range(RACKS_PER_ZONE):
            name = RackName(f"z{zone}-r{number:02}")
            busy = rng.uniform(0.6, 1.0)
            racks[name] = [
                FreeResources(
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


def summarise(zones: list[ZoneRacks], top_k: int, *, merged: bool) -> Summary:
    """Returns the top k racks of each zone, or of all zones together if ``merged``."""
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
        summary[number] = sorted(rows, key=_rank_key, reverse=True)[:top_k]
    if not merged:
        return summary
    ranked = sorted((row for rows in summary.values() for row in rows), key=_rank_key, reverse=True)
    kept_racks = {row.rack for row in ranked[:top_k]}
    return {zone: [row for row in rows if row.rack in kept_racks] for zone, rows in summary.items()}


def _rank_key(row: RackSpace) -> tuple[int, int]:
    return row.whole_workers, row.free


def replay(seed: int, top_k: int, *, merged: bool) -> tuple[float, float]:
    """Returns the share of wrong choices, and the bytes that a host receives per refresh."""
    rng = random.Random(seed)
    zones = make_site(rng)
    running: list[tuple[JobSpec, list[FreeResources]]] = []
    wrong_choices = 0
    received_bytes = 0
    summary: Summary = {}
    for number in range(JOB_COUNT):
        if number % JOBS_PER_REFRESH == 0:
            summary = summarise(zones, top_k, merged=merged)
            received_bytes += len(msgspec.msgpack.encode(list(summary.values())))
        parts, accelerators = rng.choice(SHAPES)
        spec = JobSpec(TeamName("team"), "job", parts, accelerators)
        zone = _choose(summary, spec, rng)
        placed = _place(zones[zone], spec)
        if placed is None:
            wrong_choices += any(_fits(other, spec) for other in zones)
            continue
        running.append((spec, placed))
        if len(running) > JOBS_PER_REFRESH:
            ended, spaces = running.pop(rng.randrange(len(running)))
            for space in spaces:
                space.allocate(ended, -1)
    return wrong_choices / JOB_COUNT, received_bytes / (JOB_COUNT / JOBS_PER_REFRESH)


def _choose(summary: Summary, spec: JobSpec, rng: random.Random) -> int:
    """Draws a zone, weighted by how many of its listed racks seem to fit the job."""
    fitting = {zone: sum(row.seems_to_fit(spec) for row in rows) for zone, rows in summary.items()}
    if not any(fitting.values()):
        return rng.randrange(ZONE_COUNT)
    return rng.choices(list(fitting), list(fitting.values()))[0]


def _fits(racks: ZoneRacks, spec: JobSpec) -> bool:
    return place_gang(spec, (space for rack in racks.values() for space in rack)) is not None


def _place(racks: ZoneRacks, spec: JobSpec) -> list[FreeResources] | None:
    spaces = {space.worker: space for rack in racks.values() for space in rack}
    placement = place_gang(spec, spaces.values())
    if placement is None:
        return None
    chosen = [spaces[part.worker] for part in placement]
    for space in chosen:
        space.allocate(spec)
    return chosen


def main() -> None:
    """Prints wrong choices and bytes for each k."""
    print("| k | wrong, k of each zone | bytes | wrong, k of all zones | bytes |")
    print("|---|---|---|---|---|")
    for top_k in (1, 2, 3, 5, 8, RACKS_PER_ZONE, RACKS_PER_ZONE * ZONE_COUNT):
        cells = []
        for merged in (False, True):
            results = [replay(seed, top_k, merged=merged) for seed in range(SEED_COUNT)]
            wrong_choices = [result[0] for result in results]
            size = sum(result[1] for result in results) / SEED_COUNT
            cells.append(
                f"{sum(wrong_choices) / SEED_COUNT:.1%} "
                f"({min(wrong_choices):.1%}-{max(wrong_choices):.1%}) | {size:.0f}"
            )
        print(
            f"| {top_k if top_k < RACKS_PER_ZONE * ZONE_COUNT else 'all'} | "
            + " | ".join(cells)
            + " |"
        )


if __name__ == "__main__":
    main()
