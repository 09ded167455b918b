from __future__ import annotations

from jujubehall.console.configuration_difference import Difference
from jujubehall.console.configuration_difference import differences_from_builtin
from jujubehall.console.configuration_difference import differences_since
from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Defaults


def make_entry(number: int, path: str, before: object, after: object) -> AuditEntry:
    return AuditEntry(number, 0, "amaka", "a test", path, before, after, f"token-{number}")


def test_changes_of_the_same_path_are_combined() -> None:
    entries = [
        make_entry(3, "defaults.a", 2, 3),
        make_entry(1, "defaults.a", 0, 1),
        make_entry(2, "defaults.a", 1, 2),
        make_entry(4, "defaults.b", 5, 6),
    ]
    assert differences_since(entries, 1) == [
        Difference("defaults.a", 1, 3),
        Difference("defaults.b", 5, 6),
    ]


def test_reverted_change_is_left_out() -> None:
    entries = [make_entry(1, "defaults.a", 0, 1), make_entry(2, "defaults.a", 1, 0)]
    assert differences_since(entries, 0) == []


def test_only_differences_from_the_builtin_configuration_are_returned() -> None:
    assert differences_from_builtin(Configuration()) == []
    changed = Configuration(defaults=Defaults(endpoint_slots=4))
    assert differences_from_builtin(changed) == [Difference("defaults.endpoint_slots", 8, 4)]
