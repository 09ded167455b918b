"""Checks that there is capacity for a changed guarantee beside those of all other teams."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Team
from jujubehall.errors import Failure
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from jujubehall.core.configuration.document import Shape

PackGuarantees = Callable[[Sequence[Team]], Result[dict[TeamName, dict[ZoneName, int]], Failure]]
"""Packs the guarantees of all teams; returns each team's number of blocks in each zone."""


def place_guarantees(
    before: Configuration, after: Configuration, pack: PackGuarantees
) -> Result[Configuration, Failure]:
    """Returns ``after`` with each team's number of guaranteed blocks in each availability zone.

    Fails if the change from ``before`` to ``after`` increases a guarantee and the guarantees of all
    teams can't be packed. A change that increases no guarantee is never rejected, not even while
    racks are unavailable; each team then keeps its present blocks, up to its guarantee.
    """
    changed = [team for team in after.teams if _guarantee_of(before, team) != team.guarantee]
    if not changed:
        return Ok(after)
    packed = pack(after.teams)
    if isinstance(packed, Ok):
        return Ok(_with_blocks(after, packed.ok_value))
    if any(_is_larger(team.guarantee, _guarantee_of(before, team)) for team in changed):
        return Err(packed.err_value)
    return Ok(
        _with_blocks(after, {team.name: _blocks_within_guarantee(team) for team in after.teams})
    )


def _guarantee_of(configuration: Configuration, team: Team) -> Shape | None:
    known_team = configuration.team(team.name)
    return known_team.guarantee if known_team else None


def _is_larger(shape: Shape | None, than: Shape | None) -> bool:
    if shape is None:
        return False
    return (
        than is None
        or shape.blocks > than.blocks
        or shape.accelerators_per_block > than.accelerators_per_block
    )


def _blocks_within_guarantee(team: Team) -> dict[ZoneName, int]:
    remaining = team.guarantee.blocks if team.guarantee else 0
    kept: dict[ZoneName, int] = {}
    for zone, blocks in sorted(team.blocks_by_zone.items()):
        if min(blocks, remaining) > 0:
            kept[zone] = min(blocks, remaining)
            remaining -= kept[zone]
    return kept


def _with_blocks(
    configuration: Configuration, blocks: dict[TeamName, dict[ZoneName, int]]
) -> Configuration:
    teams = tuple(
        msgspec.structs.replace(team, blocks_by_zone=dict(blocks.get(team.name, {})))
        for team in configuration.teams
    )
    return msgspec.structs.replace(configuration, teams=teams)
