"""Assignment of the teams' resource guarantees to availability zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.configuration.document import Shape

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.configuration.document import Team
    from jujubehall.core.jobs.zone_summary import ZoneSummary
    from jujubehall.identifiers import TeamName
    from jujubehall.identifiers import ZoneName


def guarantees_in(
    zone: ZoneName, teams: Iterable[Team], summaries: Iterable[ZoneSummary]
) -> dict[TeamName, Shape]:
    """Returns the shape that is guaranteed to each team in ``zone``.

    If the configuration assigns a team's blocks to zones, that assignment applies. Otherwise the
    whole shape goes to the zone with the most accelerators not yet assigned by this rule. Every
    owner computes this from the same published summaries, so that all of them get the same result.
    """
    unallocated = {
        summary.zone: sum(rack.accelerators for rack in summary.racks) for summary in summaries
    }
    unallocated.setdefault(zone, 0)
    shapes: dict[TeamName, Shape] = {}
    for team in teams:
        if team.guarantee is None:
            continue
        if team.blocks_by_zone:
            if blocks := team.blocks_by_zone.get(zone, 0):
                shapes[team.name] = Shape(blocks, team.guarantee.accelerators_per_block)
            continue
        target_zone = max(unallocated, key=lambda name: (unallocated[name], name))
        unallocated[target_zone] -= team.guarantee.blocks * team.guarantee.accelerators_per_block
        if target_zone == zone:
            shapes[team.name] = team.guarantee
    return shapes
