from __future__ import annotations

from jujubehall.console.team_view import TeamView
from jujubehall.console.team_view import team_view
from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.zone_summary import TeamUse
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

TEAM = Team(TeamName("mixers"), Shape(2, 8))


def zone(name: str, in_use: int, borrowed: int, reclaimable: int) -> ZoneSummary:
    own = TeamUse(TEAM.name, 8, in_use, borrowed, reclaimable)
    other = TeamUse(TeamName("other"), 8, 99, 99, 99)
    return ZoneSummary(ZoneName(name), Epoch(1), teams=(own, other))


def test_zones_are_added_up() -> None:
    view = team_view(TEAM, [zone("a", 12, 4, 8), zone("b", 3, 0, 8)])
    assert view == TeamView(TEAM, in_use=15, borrowed=4, reclaimable=16)
    assert view.shortfall is None


def test_no_more_than_the_guarantee_is_reclaimable() -> None:
    assert team_view(TEAM, [zone("a", 0, 0, 16), zone("b", 0, 0, 16)]).reclaimable == 16


def test_a_guarantee_that_cannot_be_met_is_said_so() -> None:
    shortfall = team_view(TEAM, [zone("a", 0, 0, 8), zone("b", 0, 0, 0)]).shortfall
    assert shortfall is not None
    assert "only 8 of the 16" in shortfall


def test_nothing_is_claimed_before_an_owner_has_published() -> None:
    view = team_view(TEAM, [])
    assert (view.in_use, view.reclaimable, view.shortfall) == (None, None, None)
