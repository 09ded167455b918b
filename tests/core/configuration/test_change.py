"""Tests of configuration changes and their validation."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from result import Err
from result import Ok

from jujubehall.core.configuration.audit import MAX_ENTRY_BYTES
from jujubehall.core.configuration.audit import MAX_RECENT_ENTRIES
from jujubehall.core.configuration.audit import segment_to_rotate
from jujubehall.core.configuration.audit import without_segment
from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import add_exception
from jujubehall.core.configuration.change import put_team
from jujubehall.core.configuration.change import remove_exception
from jujubehall.core.configuration.change import remove_team
from jujubehall.core.configuration.change import set_default
from jujubehall.core.configuration.document import MAX_CONTENT_BYTES
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.core.configuration.guarantees import place_guarantees
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

AUTHOR = ChangeAuthor("ada", "more rooms", "token-1", 1_700_000_000_000)
ZONE = ZoneName("lagos-island")
MAX_VALUE_BYTES = 1_000_000
CHANGES_PER_DAY = 1_800
TEAM_COUNT = 260


def make_team(name: str, blocks: int = 0, size: int = 8, quota: int | None = None) -> Team:
    return Team(TeamName(name), Shape(blocks, size) if blocks else None, quota)


def error_detail_of(result: Result[Any, Failure]) -> str:
    assert isinstance(result, Err)
    assert result.err_value.kind in (FailureKind.INVALID, FailureKind.NOT_FOUND)
    return result.err_value.detail


def test_exception_applies_in_its_scope_until_it_is_removed() -> None:
    changed = add_exception(
        Configuration(), AUTHOR, "endpoint/booking-3", "endpoint_slots", 4, "old hardware"
    ).unwrap()
    assert changed.value("endpoint_slots", "endpoint/booking-3", "zone/lagos") == 4
    assert changed.value("endpoint_slots", "endpoint/booking-4", "zone/lagos") == 8
    assert changed.value("endpoint_slots") == 8
    removed = remove_exception(changed, AUTHOR, "endpoint/booking-3", "endpoint_slots").unwrap()
    assert removed.value("endpoint_slots", "endpoint/booking-3") == 8
    assert [entry.path for entry in removed.audit] == [
        "exceptions[endpoint/booking-3].endpoint_slots"
    ] * 2
    assert removed.audit[1].before["reason"] == "old hardware"
    assert removed.audit[1].after is None


def test_most_specific_scope_takes_precedence() -> None:
    with_zone_exception = add_exception(
        Configuration(), AUTHOR, "zone/lagos", "endpoint_slots", 6, "power limit"
    ).unwrap()
    with_both_exceptions = add_exception(
        with_zone_exception, AUTHOR, "endpoint/e-1", "endpoint_slots", 2, "trial"
    ).unwrap()
    assert with_both_exceptions.value("endpoint_slots", "endpoint/e-1", "zone/lagos") == 2
    assert with_both_exceptions.value("endpoint_slots", "endpoint/e-2", "zone/lagos") == 6


def test_second_exception_for_a_key_replaces_the_first() -> None:
    first = add_exception(Configuration(), AUTHOR, "team/a", "endpoint_slots", 6, "x").unwrap()
    second = add_exception(first, AUTHOR, "team/a", "endpoint_slots", 7, "y").unwrap()
    assert [(each.value, each.reason) for each in second.exceptions] == [(7, "y")]
    assert second.audit[-1].before["value"] == 6


@pytest.mark.parametrize(
    ("scope", "key", "value", "reason", "path"),
    [
        ("rack/r1", "endpoint_slots", 4, "why", "$.exceptions[rack/r1].endpoint_slots.scope"),
        ("team/", "endpoint_slots", 4, "why", "$.exceptions[team/].endpoint_slots.scope"),
        ("team/a/b", "endpoint_slots", 4, "why", "$.exceptions[team/a/b].endpoint_slots.scope"),
        ("team/a", "slots", 4, "why", "$.exceptions[team/a].slots.value: unknown key"),
        ("team/a", "endpoint_slots", 0, "why", "$.exceptions[team/a].endpoint_slots.value"),
        ("team/a", "endpoint_slots", "4", "why", "$.exceptions[team/a].endpoint_slots.value"),
        ("team/a", "endpoint_slots", True, "why", "$.exceptions[team/a].endpoint_slots.value"),
        ("team/a", "endpoint_slots", 4, "", "$.exceptions[team/a].endpoint_slots.reason"),
        ("team/a", "endpoint_slots", 4, "x" * 501, "$.exceptions[team/a].endpoint_slots.reason"),
    ],
)
def test_invalid_exception_is_rejected_with_its_path(
    scope: str, key: str, value: Any, reason: str, path: str
) -> None:
    assert path in error_detail_of(
        add_exception(Configuration(), AUTHOR, scope, key, value, reason)
    )


@pytest.mark.parametrize(
    ("author", "path"),
    [
        (ChangeAuthor("", "why", "token", 0), "$.author.name"),
        (ChangeAuthor("ada", "", "token", 0), "$.author.reason"),
        (ChangeAuthor("ada", "why", "", 0), "$.author.token"),
        (ChangeAuthor("ada\n", "why", "token", 0), "$.author.name"),
    ],
)
def test_every_change_requires_an_author_a_reason_and_a_token(
    author: ChangeAuthor, path: str
) -> None:
    assert path in error_detail_of(set_default(Configuration(), author, "endpoint_slots", 9))
    assert path in error_detail_of(put_team(Configuration(), author, make_team("studio")))


def test_removing_a_missing_team_or_exception_fails() -> None:
    assert "teams.x" in error_detail_of(remove_team(Configuration(), AUTHOR, TeamName("x")))
    assert "exceptions[team/x]" in error_detail_of(
        remove_exception(Configuration(), AUTHOR, "team/x", "endpoint_slots")
    )


def test_removing_a_team_with_exceptions_fails() -> None:
    with_team = put_team(Configuration(), AUTHOR, make_team("a")).unwrap()
    with_exception = add_exception(
        with_team, AUTHOR, "team/a", "fragmentation_weight", 1.0, "rosters"
    ).unwrap()
    assert "fragmentation_weight" in error_detail_of(
        remove_team(with_exception, AUTHOR, TeamName("a"))
    )
    without_exception = remove_exception(
        with_exception, AUTHOR, "team/a", "fragmentation_weight"
    ).unwrap()
    assert remove_team(without_exception, AUTHOR, TeamName("a")).unwrap().teams == ()


def test_put_team_validates_shape_and_quota() -> None:
    invalid_shape = Team(TeamName("a"), Shape(0, 8))
    assert "$.teams.a.guarantee.blocks" in error_detail_of(
        put_team(Configuration(), AUTHOR, invalid_shape)
    )
    low_quota = make_team("a", 2, 8, quota=15)
    assert "$.teams.a.accelerator_quota" in error_detail_of(
        put_team(Configuration(), AUTHOR, low_quota)
    )


class SingleZonePacker:
    """Packs all guarantees into a single zone that has ``blocks`` blocks of eight accelerators."""

    def __init__(self, blocks: int) -> None:
        self.blocks = blocks

    def __call__(
        self, teams: Sequence[Team]
    ) -> Result[dict[TeamName, dict[ZoneName, int]], Failure]:
        needed = {each.name: each.guarantee.blocks for each in teams if each.guarantee}
        if sum(needed.values()) > self.blocks:
            return Err(Failure(FailureKind.INVALID, "pack guarantees", "operator", "no room"))
        return Ok({name: {ZONE: blocks} for name, blocks in needed.items()})


def put_and_place(before: Configuration, each: Team, blocks: int) -> Result[Configuration, Failure]:
    after = put_team(before, AUTHOR, each).unwrap()
    return place_guarantees(before, after, SingleZonePacker(blocks))


def test_guarantees_that_cannot_all_be_packed_are_rejected() -> None:
    with_one_team = put_and_place(Configuration(), make_team("a", 2), 3).unwrap()
    assert with_one_team.teams[0].blocks_by_zone == {ZONE: 2}
    assert error_detail_of(put_and_place(with_one_team, make_team("b", 2), 3)) == "no room"
    with_two_teams = put_and_place(with_one_team, make_team("b", 1), 3).unwrap()
    assert [each.blocks_by_zone for each in with_two_teams.teams] == [{ZONE: 2}, {ZONE: 1}]


def test_guarantee_can_be_lowered_while_racks_are_unavailable() -> None:
    with_one_team = put_and_place(Configuration(), make_team("a", 3), 3).unwrap()
    with_two_teams = put_and_place(with_one_team, make_team("b", 1), 4).unwrap()
    lowered = put_and_place(with_two_teams, make_team("a", 2), 0).unwrap()
    assert [each.blocks_by_zone for each in lowered.teams] == [{ZONE: 2}, {ZONE: 1}]
    assert error_detail_of(put_and_place(with_two_teams, make_team("a", 4), 0)) == "no room"
    with_other_quota = put_and_place(with_two_teams, make_team("a", 3, quota=50), 0).unwrap()
    assert with_other_quota.teams[0].blocks_by_zone == {ZONE: 3}
    without_guarantee = put_and_place(with_two_teams, make_team("a"), 0).unwrap()
    assert without_guarantee.teams[0].blocks_by_zone == {}


def random_change(random: Random, configuration: Configuration, number: int) -> Configuration:
    author = ChangeAuthor(f"operator-{random.randrange(9)}", "r" * 120, f"token-{number}", number)
    kind = random.randrange(4)
    result: Result[Configuration, Failure]
    if kind == 0:
        result = set_default(configuration, author, "endpoint_slots", random.randint(1, 9))
    elif kind == 1:
        scope = f"endpoint/booking-{random.randrange(100)}"
        result = add_exception(configuration, author, scope, "endpoint_slots", 4, "r" * 120)
    elif kind == 2 and configuration.exceptions:
        old = random.choice(configuration.exceptions)
        result = remove_exception(configuration, author, old.scope, old.key)
    else:
        name = f"team-{random.randrange(TEAM_COUNT)}"
        result = put_team(configuration, author, make_team(name, random.randint(1, 3)))
    return result.unwrap()


def test_two_days_of_changes_stay_below_the_size_limit_and_lose_no_audit_entry() -> None:
    random = Random(1)
    configuration = Configuration()
    for number in range(TEAM_COUNT):
        configuration = put_team(configuration, AUTHOR, make_team(f"team-{number}", 1)).unwrap()
        configuration = msgspec.structs.replace(configuration, audit=())
    first_number = configuration.number + 1
    audited_numbers: list[int] = []
    max_bytes = 0
    for number in range(2 * CHANGES_PER_DAY):
        segment = segment_to_rotate(configuration)
        if segment is not None:
            audited_numbers.extend(entry.number for entry in segment.entries)
        changed = random_change(random, configuration, number)
        configuration = without_segment(changed, segment) if segment else changed
        max_bytes = max(max_bytes, len(msgspec.json.encode(configuration)))
    audited_numbers.extend(entry.number for entry in configuration.audit)
    assert audited_numbers == list(range(first_number, configuration.number + 1))
    assert len(configuration.audit) <= MAX_RECENT_ENTRIES
    assert max_bytes < MAX_VALUE_BYTES / 4


def test_largest_possible_document_fits_into_a_value() -> None:
    assert MAX_CONTENT_BYTES + MAX_RECENT_ENTRIES * MAX_ENTRY_BYTES < MAX_VALUE_BYTES
    configuration = Configuration()
    four_byte_character = "\U0001f3b5"
    error_detail = ""
    for number in range(500):
        scope = f"endpoint/{number:03d}" + four_byte_character * 125
        author = ChangeAuthor(
            four_byte_character * 128, four_byte_character * 500, f"token-{number}", 0
        )
        changed = add_exception(
            configuration, author, scope, "endpoint_slots", 4, four_byte_character * 500
        )
        if isinstance(changed, Err):
            error_detail = changed.err_value.detail
            break
        segment = segment_to_rotate(configuration)
        configuration = changed.ok_value
        if segment is not None:
            configuration = without_segment(configuration, segment)
        assert len(msgspec.json.encode(configuration)) < MAX_VALUE_BYTES
    assert f"exceeds {MAX_CONTENT_BYTES} bytes" in error_detail
