"""Tests the scheduling settings: off by default, and all errors in one report."""

from __future__ import annotations

import subprocess
import sys

from typing import TYPE_CHECKING

import pytest

from jujubehall.daemon.scheduling_settings import SchedulingSettings
from jujubehall.daemon.scheduling_settings import load_scheduling_settings

if TYPE_CHECKING:
    from pathlib import Path

EXIT_INVALID_SETTINGS = 2


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    return tmp_path / "scheduling.json"


def test_nothing_is_refused_without_a_file() -> None:
    assert load_scheduling_settings(None).unwrap() == SchedulingSettings(False)


def test_refusals_are_off_unless_given(settings_file: Path) -> None:
    settings_file.write_text("{}")
    assert not load_scheduling_settings(settings_file).unwrap().refuse_when_overloaded
    settings_file.write_text('{"refuse_when_overloaded": true}')
    assert load_scheduling_settings(settings_file).unwrap().refuse_when_overloaded


def test_every_error_is_reported_with_its_path(settings_file: Path) -> None:
    settings_file.write_text('{"refuse_when_overloaded": "yes", "refuse": true}')
    assert load_scheduling_settings(settings_file).unwrap_err() == [
        "$.refuse: unknown key",
        '$.refuse_when_overloaded: "yes" is not of type boolean',
    ]


def test_error_is_reported_without_jsonschema(
    settings_file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "jsonschema", None)
    monkeypatch.delitem(sys.modules, "jujubehall.daemon.settings_errors", raising=False)
    settings_file.write_text('{"refuse_when_overloaded": "yes"}')
    assert load_scheduling_settings(settings_file).unwrap_err() == [
        "Expected `bool`, got `str` - at `$.refuse_when_overloaded`"
    ]


def test_process_reports_an_invalid_file_and_does_not_start(settings_file: Path) -> None:
    settings_file.write_text("[]")
    process = subprocess.run(
        [sys.executable, "-m", "jujubehall.daemon.site_main", "--scheduling", str(settings_file)],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    assert process.returncode == EXIT_INVALID_SETTINGS
    assert process.stderr == f"jujubehalld: {settings_file}: $: [] is not of type object\n"


def test_missing_file_is_reported(tmp_path: Path) -> None:
    missing = tmp_path / "missing.json"
    assert load_scheduling_settings(missing).unwrap_err() == [
        "cannot be read: No such file or directory"
    ]
