"""Checks whether the guarantees of all teams can be held at the same time.

The check is a pure function of a site's racks and the teams' shapes, so that a configuration is
refused before it is written if its guarantees can't all be kept.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from jujubehall.core.jobs.blocks import RackRoom
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
    """Gives each team's guaranteed blocks per zone, or the reason why they don't all fit.

    ``accelerators`` of a rack is what jujubehall may use; ``free`` plays no part, since borrowed
    space can be reclaimed. The teams are first packed in their given order, so that a team added
    at the end moves no other team's blocks. If that fails, all blocks are packed anew from the
    largest to the smallest. The search is a heuristic: it never accepts guarantees that don't
    fit, but may refuse a very tight configuration that a longer search could pack.
    """
    guaranteed = [(team.name, team.guarantee) for team in teams if team.guarantee is not None]
    largest_first = sorted(guaranteed, key=lambda team: -team[1].accelerators_per_block)
    failure: Failure | None = None
    for order, together in ((guaranteed, True), (largest_first, True), (largest_first, False)):
        packed = _pack_in_order(_rooms(zones), order, together)
        if isinstance(packed, Ok):
            return packed
        failure = failure or packed.err_value
    assert failure is not None
    return Err(failure)


def _pack_in_order(
    rooms: dict[ZoneName, list[RackRoom]], teams: list[tuple[TeamName, Shape]], together: bool
) -> Result[dict[TeamName, BlocksByZone], Failure]:
    packed: dict[TeamName, BlocksByZone] = {}
    for name, shape in teams:
        blocks = _pack_together(rooms, shape) if together else None
        if blocks is None:
            blocks = _pack_spread(rooms, shape)
        count = sum(blocks.values())
        if count < shape.blocks:
            return Err(_infeasible(name, shape, count))
        packed[name] = blocks
    return Ok(packed)


def _pack_together(rooms: dict[ZoneName, list[RackRoom]], shape: Shape) -> BlocksByZone | None:
    """Packs all blocks of a team into the emptiest zone that holds them, if any does.

    A gang never spans zones, so that blocks of one team are worth more in one zone.
    """
    for zone in _emptiest_first(rooms):
        taken: list[tuple[RackRoom, tuple[Chunk, ...]]] = []
        for _ in range(shape.blocks):
            found = find_block(shape.accelerators_per_block, rooms[zone])
            if found is None:
                break
            found[0].take(found[1])
            taken.append(found)
        if len(taken) == shape.blocks:
            return {zone: shape.blocks}
        for rack, chunks in taken:
            rack.give_back(chunks)
    return None


def _pack_spread(rooms: dict[ZoneName, list[RackRoom]], shape: Shape) -> BlocksByZone:
    """Packs as many blocks of a team as fit, each into the tightest place of any zone."""
    racks = [rack for zone in rooms.values() for rack in zone]
    zone_of = {id(rack): zone for zone, zone_racks in rooms.items() for rack in zone_racks}
    blocks: BlocksByZone = {}
    for _ in range(shape.blocks):
        found = find_block(shape.accelerators_per_block, racks)
        if found is None:
            break
        found[0].take(found[1])
        zone = zone_of[id(found[0])]
        blocks[zone] = blocks.get(zone, 0) + 1
    return blocks


def _emptiest_first(rooms: dict[ZoneName, list[RackRoom]]) -> Iterable[ZoneName]:
    room = {zone: sum(sum(r.room.values()) for r in racks) for zone, racks in rooms.items()}
    return sorted(rooms, key=lambda zone: (-room[zone], zone))


def _rooms(zones: Mapping[ZoneName, Sequence[RackSummary]]) -> dict[ZoneName, list[RackRoom]]:
    return {zone: [_room(rack) for rack in racks] for zone, racks in zones.items()}


def _room(rack: RackSummary) -> RackRoom:
    """Spreads a rack's accelerators over its workers, whole workers first."""
    left = rack.accelerators
    room: dict[WorkerName, int] = {}
    for number in range(rack.workers):
        share = max(0, min(rack.accelerators_per_worker, left))
        room[WorkerName(str(number))] = share
        left -= share
    return RackRoom(rack.rack, rack.accelerators_per_worker, room)


def _infeasible(team: TeamName, shape: Shape, fitting: int) -> Failure:
    size = shape.accelerators_per_block
    missing = shape.blocks - fitting
    detail = (
        f"team {team}: {missing} of {shape.blocks} guaranteed blocks of {size} adjacent "
        f"accelerators fit in no rack beside the other teams' guarantees"
    )
    return Failure(FailureKind.INVALID, _STEP, _PEER, detail)
