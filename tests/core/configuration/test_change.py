"""Changes of the configuration and what they refuse."""

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
CHANGES_A_DAY = 1_800
TEAMS = 260


def team(name: str, blocks: int = 0, size: int = 8, quota: int | None = None) -> Team:
    return Team(TeamName(name), Shape(blocks, size) if blocks else None, quota)


def refusal(result: Result[Any, Failure]) -> str:
    assert isinstance(result, Err)
    assert result.err_value.kind in (FailureKind.INVALID, FailureKind.NOT_FOUND)
    return result.err_value.detail


def test_an_exception_is_in_force_in_its_scope_until_it_is_removed() -> None:
    changed = add_exception(
        Configuration(), AUTHOR, "endpoint/booking-3", "endpoint_slots", 4, "old hardware"
    ).unwrap()
    assert changed.value("endpoint_slots", "endpoint/booking-3", "zone/lagos") == 4
    assert changed.value("endpoint_slots", "endpoint/booking-4", "zone/lagos") == 8
    assert changed.value("endpoint_slots") == 8
    back = remove_exception(changed, AUTHOR, "endpoint/booking-3", "endpoint_slots").unwrap()
    assert back.value("endpoint_slots", "endpoint/booking-3") == 8
    assert [entry.path for entry in back.audit] == [
        "exceptions[endpoint/booking-3].endpoint_slots"
    ] * 2
    assert back.audit[1].before["reason"] == "old hardware"
    assert back.audit[1].after is None


def test_the_most_specific_scope_wins() -> None:
    zone = add_exception(
        Configuration(), AUTHOR, "zone/lagos", "endpoint_slots", 6, "power limit"
    ).unwrap()
    both = add_exception(zone, AUTHOR, "endpoint/e-1", "endpoint_slots", 2, "trial").unwrap()
    assert both.value("endpoint_slots", "endpoint/e-1", "zone/lagos") == 2
    assert both.value("endpoint_slots", "endpoint/e-2", "zone/lagos") == 6


def test_a_second_exception_for_a_key_replaces_the_first() -> None:
    one = add_exception(Configuration(), AUTHOR, "team/a", "endpoint_slots", 6, "x").unwrap()
    two = add_exception(one, AUTHOR, "team/a", "endpoint_slots", 7, "y").unwrap()
    assert [(each.value, each.reason) for each in two.exceptions] == [(7, "y")]
    assert two.audit[-1].before["value"] == 6


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
def test_a_faulty_exception_is_refused_with_the_path(
    scope: str, key: str, value: Any, reason: str, path: str
) -> None:
    assert path in refusal(add_exception(Configuration(), AUTHOR, scope, key, value, reason))


@pytest.mark.parametrize(
    ("author", "path"),
    [
        (ChangeAuthor("", "why", "token", 0), "$.author.name"),
        (ChangeAuthor("ada", "", "token", 0), "$.author.reason"),
        (ChangeAuthor("ada", "why", "", 0), "$.author.token"),
        (ChangeAuthor("ada\n", "why", "token", 0), "$.author.name"),
    ],
)
def test_every_change_needs_an_author_a_reason_and_a_token(author: ChangeAuthor, path: str) -> None:
    assert path in refusal(set_default(Configuration(), author, "endpoint_slots", 9))
    assert path in refusal(put_team(Configuration(), author, team("studio")))


def test_what_does_not_exist_is_not_removed() -> None:
    assert "teams.x" in refusal(remove_team(Configuration(), AUTHOR, TeamName("x")))
    assert "exceptions[team/x]" in refusal(
        remove_exception(Configuration(), AUTHOR, "team/x", "endpoint_slots")
    )


def test_a_team_with_exceptions_is_not_removed() -> None:
    one = put_team(Configuration(), AUTHOR, team("a")).unwrap()
    two = add_exception(one, AUTHOR, "team/a", "fragmentation_weight", 1.0, "rosters").unwrap()
    assert "fragmentation_weight" in refusal(remove_team(two, AUTHOR, TeamName("a")))
    three = remove_exception(two, AUTHOR, "team/a", "fragmentation_weight").unwrap()
    assert remove_team(three, AUTHOR, TeamName("a")).unwrap().teams == ()


def test_a_team_is_checked() -> None:
    bad_shape = Team(TeamName("a"), Shape(0, 8))
    assert "$.teams.a.guarantee.blocks" in refusal(put_team(Configuration(), AUTHOR, bad_shape))
    too_low = team("a", 2, 8, quota=15)
    assert "$.teams.a.accelerator_quota" in refusal(put_team(Configuration(), AUTHOR, too_low))


class OneZone:
    """Packs blocks of eight into one zone with so many of them."""

    def __init__(self, blocks: int) -> None:
        self.blocks = blocks

    def __call__(
        self, teams: Sequence[Team]
    ) -> Result[dict[TeamName, dict[ZoneName, int]], Failure]:
        needed = {each.name: each.guarantee.blocks for each in teams if each.guarantee}
        if sum(needed.values()) > self.blocks:
            return Err(Failure(FailureKind.INVALID, "pack guarantees", "operator", "no room"))
        return Ok({name: {ZONE: blocks} for name, blocks in needed.items()})


def placed(before: Configuration, each: Team, blocks: int) -> Result[Configuration, Failure]:
    after = put_team(before, AUTHOR, each).unwrap()
    return place_guarantees(before, after, OneZone(blocks))


def test_guarantees_that_cannot_all_be_packed_are_refused() -> None:
    one = placed(Configuration(), team("a", 2), 3).unwrap()
    assert one.teams[0].blocks_by_zone == {ZONE: 2}
    assert refusal(placed(one, team("b", 2), 3)) == "no room"
    two = placed(one, team("b", 1), 3).unwrap()
    assert [each.blocks_by_zone for each in two.teams] == [{ZONE: 2}, {ZONE: 1}]


def test_a_guarantee_can_be_lowered_while_racks_are_lost() -> None:
    one = placed(Configuration(), team("a", 3), 3).unwrap()
    two = placed(one, team("b", 1), 4).unwrap()
    lower = placed(two, team("a", 2), 0).unwrap()
    assert [each.blocks_by_zone for each in lower.teams] == [{ZONE: 2}, {ZONE: 1}]
    assert refusal(placed(two, team("a", 4), 0)) == "no room"
    other_limit = placed(two, team("a", 3, quota=50), 0).unwrap()
    assert other_limit.teams[0].blocks_by_zone == {ZONE: 3}
    none = placed(two, team("a"), 0).unwrap()
    assert none.teams[0].blocks_by_zone == {}


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
        name = f"team-{random.randrange(TEAMS)}"
        result = put_team(configuration, author, team(name, random.randint(1, 3)))
    return result.unwrap()


def test_two_days_of_changes_stay_far_below_the_limit_and_lose_no_entry() -> None:
    random = Random(1)
    configuration = Configuration()
    for number in range(TEAMS):
        configuration = put_team(configuration, AUTHOR, team(f"team-{number}", 1)).unwrap()
        configuration = msgspec.structs.replace(configuration, audit=())
    first = configuration.number + 1
    kept: list[int] = []
    largest = 0
    for number in range(2 * CHANGES_A_DAY):
        segment = segment_to_rotate(configuration)
        if segment is not None:
            kept.extend(entry.number for entry in segment.entries)
        changed = random_change(random, configuration, number)
        configuration = without_segment(changed, segment) if segment else changed
        largest = max(largest, len(msgspec.json.encode(configuration)))
    kept.extend(entry.number for entry in configuration.audit)
    assert kept == list(range(first, configuration.number + 1))
    assert len(configuration.audit) <= MAX_RECENT_ENTRIES
    assert largest < MAX_VALUE_BYTES / 4


def test_the_largest_possible_document_fits_into_a_value() -> None:
    assert MAX_CONTENT_BYTES + MAX_RECENT_ENTRIES * MAX_ENTRY_BYTES < MAX_VALUE_BYTES
    configuration = Configuration()
    widest = "\U0001f3b5"
    failure = ""
    for number in range(500):
        scope = f"endpoint/{number:03d}" + widest * 125
        author = ChangeAuthor(widest * 128, widest * 500, f"token-{number}", 0)
        changed = add_exception(configuration, author, scope, "endpoint_slots", 4, widest * 500)
        if isinstance(changed, Err):
            failure = changed.err_value.detail
            break
        segment = segment_to_rotate(configuration)
        configuration = changed.ok_value
        if segment is not None:
            configuration = without_segment(configuration, segment)
        assert len(msgspec.json.encode(configuration)) < MAX_VALUE_BYTES
    assert "bytes, over" in failure
