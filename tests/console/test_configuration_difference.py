from __future__ import annotations

from jujubehall.console.configuration_difference import Difference
from jujubehall.console.configuration_difference import differences_from_shipped
from jujubehall.console.configuration_difference import differences_since
from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Defaults


def entry(number: int, path: str, before: object, after: object) -> AuditEntry:
    return AuditEntry(number, 0, "amaka", "a test", path, before, after, f"token-{number}")


def test_changes_of_one_path_are_shown_as_one() -> None:
    entries = [
        entry(3, "defaults.a", 2, 3),
        entry(1, "defaults.a", 0, 1),
        entry(2, "defaults.a", 1, 2),
        entry(4, "defaults.b", 5, 6),
    ]
    assert differences_since(entries, 1) == [
        Difference("defaults.a", 1, 3),
        Difference("defaults.b", 5, 6),
    ]


def test_a_change_that_was_taken_back_is_no_difference() -> None:
    entries = [entry(1, "defaults.a", 0, 1), entry(2, "defaults.a", 1, 0)]
    assert differences_since(entries, 0) == []


def test_only_what_differs_from_the_shipped_configuration_is_shown() -> None:
    assert differences_from_shipped(Configuration()) == []
    changed = Configuration(defaults=Defaults(endpoint_slots=4))
    assert differences_from_shipped(changed) == [Difference("defaults.endpoint_slots", 8, 4)]
