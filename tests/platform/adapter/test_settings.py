"""The platform's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.platform.adapter.settings import load_site_settings

if TYPE_CHECKING:
    from pathlib import Path

SOUND = """
nodeName = "front-1"
ip = "10.1.0.19"
zone = "lagos-mainland"
portRange = [7000, 7015]
newField = { a = 1 }
[listen]
front = "10.1.0.19:8521"
readiness = "10.1.0.19:8523"
[platform]
address = "10.200.1.7:8524"
[bounds]
maxHoldMs = 6000
graceS = 6
"""


def test_sound_settings_with_fields_that_are_not_known(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(SOUND)
    settings = load_site_settings(path).unwrap()
    assert settings.store.address == "10.200.1.7:8524"
    assert settings.bounds.longest_lease_ms == 6_000
    assert settings.bounds.revoke_ms == 5_000


@pytest.mark.parametrize(
    ("before", "after", "fault"),
    [
        ('nodeName = "front-1"', "", "nodeName"),
        ("portRange = [7000, 7015]", 'portRange = "x"', "portRange"),
        ("[platform]", "[plat form]", "at line"),
        ("maxHoldMs = 6000", 'maxHoldMs = "long"', "bounds.maxHoldMs"),
    ],
)
def test_faults_are_named(tmp_path: Path, before: str, after: str, fault: str) -> None:
    path = tmp_path / "local.toml"
    path.write_text(SOUND.replace(before, after))
    assert fault in load_site_settings(path).unwrap_err()


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    assert "none.toml: cannot be read" in load_site_settings(tmp_path / "none.toml").unwrap_err()
