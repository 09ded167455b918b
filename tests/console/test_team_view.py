from __future__ import annotations

from jujubehall.console.team_view import TeamView
from jujubehall.console.team_view import build_team_view
from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.zone_summary import TeamUsage
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

TEAM = Team(TeamName("mixers"), Shape(2, 8))


def make_zone_summary(name: str, in_use: int, borrowed: int, reclaimable: int) -> ZoneSummary:
    usage = TeamUsage(TEAM.name, 8, in_use, borrowed, reclaimable)
    other_usage = TeamUsage(TeamName("other"), 8, 99, 99, 99)
    return ZoneSummary(ZoneName(name), Epoch(1), teams=(usage, other_usage))


def test_usage_is_summed_over_zones() -> None:
    view = build_team_view(
        TEAM, [make_zone_summary("a", 12, 4, 8), make_zone_summary("b", 3, 0, 8)]
    )
    assert view == TeamView(TEAM, in_use=15, borrowed=4, reclaimable=16)
    assert view.shortfall_warning is None


def test_reclaimable_is_limited_to_the_guarantee() -> None:
    assert (
        build_team_view(
            TEAM, [make_zone_summary("a", 0, 0, 16), make_zone_summary("b", 0, 0, 16)]
        ).reclaimable
        == 16
    )


def test_unmet_guarantee_gives_a_shortfall_warning() -> None:
    warning = build_team_view(
        TEAM, [make_zone_summary("a", 0, 0, 8), make_zone_summary("b", 0, 0, 0)]
    ).shortfall_warning
    assert warning is not None
    assert "only 8 of the 16" in warning


def test_counts_are_unknown_before_a_zone_owner_has_published() -> None:
    view = build_team_view(TEAM, [])
    assert (view.in_use, view.reclaimable, view.shortfall_warning) == (None, None, None)
