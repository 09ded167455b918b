"""Loading of the platform's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.ownership.capacity import HostCapacity
from jujubehall.platform.adapter.settings import load_site_settings

if TYPE_CHECKING:
    from pathlib import Path

VALID_SETTINGS = """
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


def test_valid_settings_with_unknown_fields_are_loaded(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(VALID_SETTINGS)
    settings = load_site_settings(path).unwrap()
    assert settings.store.address == "10.200.1.7:8524"
    assert settings.bounds.max_lease_ms == 6_000
    assert settings.bounds.revocation_deadline_ms == 5_000


def test_zones_are_evacuated_only_where_there_is_a_deadline_for_it(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(VALID_SETTINGS)
    assert load_site_settings(path).unwrap().bounds.evacuation_deadline_ms is None
    path.write_text(VALID_SETTINGS + "evacuateMs = 5000\n")
    assert load_site_settings(path).unwrap().bounds.evacuation_deadline_ms == 5_000


def test_capacity_is_computed_from_the_limits_of_the_machine(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(VALID_SETTINGS)
    assert load_site_settings(path).unwrap().limits.capacity == HostCapacity()
    path.write_text(VALID_SETTINGS + "[limits]\ncpuShare = 0.717\ncores = 3\nlinkMbps = 200.0\n")
    assert load_site_settings(path).unwrap().limits.capacity == HostCapacity(2_151, 200)


def test_memory_and_descriptors_of_the_machine_are_loaded(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(VALID_SETTINGS + "[limits]\nmemoryMb = 160\nmaxFds = 1638\n")
    limits = load_site_settings(path).unwrap().limits
    assert (limits.memory_mb, limits.descriptors) == (160, 1_638)


@pytest.mark.parametrize(
    ("before", "after", "expected_text"),
    [
        ('nodeName = "front-1"', "", "nodeName"),
        ("portRange = [7000, 7015]", 'portRange = "x"', "portRange"),
        ("[platform]", "[plat form]", "at line"),
        ("maxHoldMs = 6000", 'maxHoldMs = "long"', "bounds.maxHoldMs"),
    ],
)
def test_error_names_the_invalid_field_or_line(
    tmp_path: Path, before: str, after: str, expected_text: str
) -> None:
    path = tmp_path / "local.toml"
    path.write_text(VALID_SETTINGS.replace(before, after))
    assert expected_text in load_site_settings(path).unwrap_err()


def test_error_names_a_missing_file(tmp_path: Path) -> None:
    assert "none.toml: cannot be read" in load_site_settings(tmp_path / "none.toml").unwrap_err()
