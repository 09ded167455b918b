"""Which part of each team's guarantee lies in which availability zone."""

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
    """The shapes guaranteed in ``zone``.

    The configuration says in which zones a team's blocks are kept. Where it doesn't, every owner
    computes the same from the published summaries: the whole shape goes to the zone that has the
    most accelerators left for guarantees.
    """
    left = {summary.zone: sum(rack.accelerators for rack in summary.racks) for summary in summaries}
    left.setdefault(zone, 0)
    here: dict[TeamName, Shape] = {}
    for team in teams:
        if team.guarantee is None:
            continue
        if team.blocks_by_zone:
            if blocks := team.blocks_by_zone.get(zone, 0):
                here[team.name] = Shape(blocks, team.guarantee.accelerators_per_block)
            continue
        chosen = max(left, key=lambda name: (left[name], name))
        left[chosen] -= team.guarantee.blocks * team.guarantee.accelerators_per_block
        if chosen == zone:
            here[team.name] = team.guarantee
    return here
