"""Tests of the feasibility check of the teams' guarantees."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.packing import pack_guarantees
from jujubehall.core.jobs.zone_summary import RackSummary
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

ZONES = {
    ZoneName(name): [RackSummary(RackName(f"{name}-r1"), 64, 0, 8, 8)]
    for name in ("lagos-mainland", "lagos-island", "port-harcourt")
}


def team(name: str, blocks: int, size: int) -> Team:
    return Team(TeamName(name), Shape(blocks, size))


def test_team_is_packed_into_one_zone() -> None:
    packed = pack_guarantees(ZONES, [team("a", 2, 8), team("b", 8, 8)]).unwrap()

    assert packed[TeamName("a")] == {ZoneName("lagos-island"): 2}
    assert list(packed[TeamName("b")].values()) == [8]


def test_team_too_large_for_one_zone_is_spread_over_zones() -> None:
    packed = pack_guarantees(ZONES, [team("a", 3, 64)]).unwrap()

    assert sum(packed[TeamName("a")].values()) == 3
    assert set(packed[TeamName("a")].values()) == {1}


def test_block_larger_than_a_rack_is_rejected_with_the_reason() -> None:
    failure = pack_guarantees(ZONES, [team("a", 1, 65)]).unwrap_err()

    assert "team a: 1 of 1 guaranteed blocks of 65" in failure.detail


def test_rejection_states_the_number_of_blocks_that_do_not_fit() -> None:
    failure = pack_guarantees(ZONES, [team("a", 1, 64), team("b", 3, 64)]).unwrap_err()

    assert "team b: 1 of 3 guaranteed blocks of 64" in failure.detail


def test_blocks_that_fit_on_one_worker_are_not_split_over_two() -> None:
    assert pack_guarantees(ZONES, [team("a", 24, 5)]).is_ok()
    assert pack_guarantees(ZONES, [team("a", 24, 5), team("b", 1, 5)]).is_err()
    assert pack_guarantees(ZONES, [team("a", 24, 5), team("b", 24, 3)]).is_ok()


def test_teams_are_repacked_largest_first_if_the_given_order_fails() -> None:
    small = [team(f"s{number}", 1, 1) for number in range(3)]

    assert pack_guarantees(ZONES, [*small, team("large", 2, 64)]).is_ok()


def test_teams_without_a_guarantee_get_no_blocks() -> None:
    assert pack_guarantees(ZONES, [Team(TeamName("a"))]).unwrap() == {}


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 6), st.integers(1, 40)), max_size=10))
def test_all_blocks_are_packed_within_the_capacity_of_each_zone(
    shapes: list[tuple[int, int]],
) -> None:
    teams = [team(str(number), *shape) for number, shape in enumerate(shapes)]
    packed = pack_guarantees(ZONES, teams)
    if sum(blocks * size for blocks, size in shapes) > 3 * 64:
        assert packed.is_err()
    if packed.is_err():
        return
    for one in teams:
        assert one.guarantee is not None
        assert sum(packed.unwrap()[one.name].values()) == one.guarantee.blocks
    for zone in ZONES:
        held = sum(
            packed.unwrap()[one.name].get(zone, 0) * one.guarantee.accelerators_per_block
            for one in teams
            if one.guarantee is not None
        )
        assert held <= 64
