"""Checks whether the guarantees of all teams can be met at the same time.

The check is a pure function of a site's racks and the teams' guaranteed shapes, so that a
configuration whose guarantees can't all be met is rejected before it is written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from jujubehall.core.jobs.blocks import RackCapacity
from jujubehall.core.jobs.blocks import find_block
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from result import Result

    from jujubehall.core.configuration.document import Shape
    from jujubehall.core.configuration.document import Team
    from jujubehall.core.jobs.blocks import Chunk
    from jujubehall.core.jobs.zone_summary import RackSummary

BlocksByZone = dict[ZoneName, int]
_STEP = "pack the guarantees"
_PEER = "configuration"


def pack_guarantees(
    zones: Mapping[ZoneName, Sequence[RackSummary]], teams: Sequence[Team]
) -> Result[dict[TeamName, BlocksByZone], Failure]:
    """Returns the number of each team's guaranteed blocks per zone, or why they don't all fit.

    ``accelerators`` of a rack is the number that jujubehall may use; ``free`` is ignored, since
    borrowed capacity can be reclaimed. The teams are first packed in the given order, so that
    appending a team doesn't move the blocks of other teams. If that fails, all blocks are repacked
    from the largest to the smallest. The search is a heuristic: it never accepts guarantees that
    don't fit, but may reject a very tight configuration that an exhaustive search could pack.
    """
    guaranteed = [(team.name, team.guarantee) for team in teams if team.guarantee is not None]
    largest_first = sorted(guaranteed, key=lambda team: -team[1].accelerators_per_block)
    failure: Failure | None = None
    for order, prefer_one_zone in (
        (guaranteed, True),
        (largest_first, True),
        (largest_first, False),
    ):
        packed = _pack_in_order(_rack_capacities(zones), order, prefer_one_zone)
        if isinstance(packed, Ok):
            return packed
        failure = failure or packed.err_value
    assert failure is not None
    return Err(failure)


def _pack_in_order(
    racks_by_zone: dict[ZoneName, list[RackCapacity]],
    teams: list[tuple[TeamName, Shape]],
    prefer_one_zone: bool,
) -> Result[dict[TeamName, BlocksByZone], Failure]:
    packed: dict[TeamName, BlocksByZone] = {}
    for name, shape in teams:
        blocks = _pack_into_one_zone(racks_by_zone, shape) if prefer_one_zone else None
        if blocks is None:
            blocks = _pack_spread(racks_by_zone, shape)
        count = sum(blocks.values())
        if count < shape.blocks:
            return Err(_make_failure(name, shape, count))
        packed[name] = blocks
    return Ok(packed)


def _pack_into_one_zone(
    racks_by_zone: dict[ZoneName, list[RackCapacity]], shape: Shape
) -> BlocksByZone | None:
    """Packs all blocks of a team into the zone with the most capacity that holds them, or None.

    Blocks in one zone are more useful to a team, since a gang never spans zones.
    """
    for zone in _emptiest_first(racks_by_zone):
        allocated: list[tuple[RackCapacity, tuple[Chunk, ...]]] = []
        for _ in range(shape.blocks):
            found = find_block(shape.accelerators_per_block, racks_by_zone[zone])
            if found is None:
                break
            found[0].allocate(found[1])
            allocated.append(found)
        if len(allocated) == shape.blocks:
            return {zone: shape.blocks}
        for rack, chunks in allocated:
            rack.release(chunks)
    return None


def _pack_spread(racks_by_zone: dict[ZoneName, list[RackCapacity]], shape: Shape) -> BlocksByZone:
    """Packs as many blocks of a team as fit, each into the best-fit location of any zone."""
    racks = [rack for zone in racks_by_zone.values() for rack in zone]
    zone_of = {id(rack): zone for zone, zone_racks in racks_by_zone.items() for rack in zone_racks}
    blocks: BlocksByZone = {}
    for _ in range(shape.blocks):
        found = find_block(shape.accelerators_per_block, racks)
        if found is None:
            break
        found[0].allocate(found[1])
        zone = zone_of[id(found[0])]
        blocks[zone] = blocks.get(zone, 0) + 1
    return blocks


def _emptiest_first(racks_by_zone: dict[ZoneName, list[RackCapacity]]) -> Iterable[ZoneName]:
    available = {
        zone: sum(sum(r.available.values()) for r in racks) for zone, racks in racks_by_zone.items()
    }
    return sorted(racks_by_zone, key=lambda zone: (-available[zone], zone))


def _rack_capacities(
    zones: Mapping[ZoneName, Sequence[RackSummary]],
) -> dict[ZoneName, list[RackCapacity]]:
    return {zone: [_rack_capacity(rack) for rack in racks] for zone, racks in zones.items()}


def _rack_capacity(rack: RackSummary) -> RackCapacity:
    """Distributes a rack's usable accelerators over its workers, filling one after the other."""
    remaining = rack.accelerators
    available: dict[WorkerName, int] = {}
    for number in range(rack.workers):
        share = max(0, min(rack.accelerators_per_worker, remaining))
        available[WorkerName(str(number))] = share
        remaining -= share
    return RackCapacity(rack.rack, rack.accelerators_per_worker, available)


def _make_failure(team: TeamName, shape: Shape, fitting: int) -> Failure:
    size = shape.accelerators_per_block
    missing = shape.blocks - fitting
    detail = (
        f"team {team}: {missing} of {shape.blocks} guaranteed blocks of {size} adjacent "
        f"accelerators do not fit in any rack alongside the other teams' guarantees"
    )
    return Failure(FailureKind.INVALID, _STEP, _PEER, detail)
