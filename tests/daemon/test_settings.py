"""Faults of a settings file, all in one report."""

from __future__ import annotations

import json
import subprocess
import sys

from typing import TYPE_CHECKING
from typing import Any

import pytest

from jujubehall.daemon.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

EXIT_BAD_SETTINGS = 2


def sound() -> dict[str, Any]:
    return {
        "name": "entry-0",
        "zone": "zone-a",
        "platform": "http://10.0.0.1:8500",
        "listen": {"host": "10.0.0.2", "http_port": 8080, "mesh_port": 8081},
    }


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    return tmp_path / "settings.json"


def test_sound_settings_are_accepted(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(sound()))
    assert load_settings(settings_file).unwrap().listen.http_port == 8080


def test_every_fault_is_reported_with_its_path(settings_file: Path) -> None:
    bad = sound() | {"zone": 3, "platfrom": "x", "stop_timeout_ms": -1, "platform": "10.0.0.1"}
    bad["listen"] = {"host": "0.0.0.0", "http_port": 70_000, "odd key": 1}
    bad["limits"] = {"connections": 0, "body_bytes": "many"}
    settings_file.write_text(json.dumps(bad))
    assert load_settings(settings_file).unwrap_err() == [
        '$.limits.body_bytes: "many" is not of type integer',
        "$.limits.connections: 0 is less than the minimum of 1",
        '$.listen.host: "0.0.0.0" is not an IPv4 address other than 0.0.0.0',
        "$.listen.http_port: 70000 is greater than the maximum of 65535",
        "$.listen.mesh_port: is missing",
        '$.listen["odd key"]: unknown key',
        '$.platform: "10.0.0.1" is not a base URL such as http://10.0.0.1:8500',
        "$.platfrom: unknown key",
        "$.stop_timeout_ms: -1 is less than the minimum of 0",
        "$.zone: 3 is not of type string",
    ]


@pytest.mark.parametrize(
    ("content", "fault"),
    [
        (b"{", "$: not JSON"),
        (b"[]", "$: [] is not of type object"),
        (b'"\xff"', "$: not JSON"),
        (b"[" * 100_000, "$: not JSON"),
    ],
)
def test_content_that_is_no_object_is_one_fault(
    settings_file: Path, content: bytes, fault: str
) -> None:
    settings_file.write_bytes(content)
    faults = load_settings(settings_file).unwrap_err()
    assert len(faults) == 1
    assert faults[0].startswith(fault)


def test_the_ports_must_differ(settings_file: Path) -> None:
    bad = sound()
    bad["listen"]["mesh_port"] = 8080
    settings_file.write_text(json.dumps(bad))
    faults = load_settings(settings_file).unwrap_err()
    assert faults == ["$.listen.mesh_port: 8080 is also $.listen.http_port"]


def test_a_missing_file_is_named(settings_file: Path) -> None:
    assert load_settings(settings_file).unwrap_err() == [
        "cannot be read: No such file or directory"
    ]


def daemon(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "jujubehall.daemon.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_the_daemon_refuses_to_start_with_faults(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(sound() | {"zone": 3, "name": ""}))
    ended = daemon("--settings", str(settings_file))
    assert ended.returncode == EXIT_BAD_SETTINGS
    assert len(ended.stderr.splitlines()) == 2


def test_check_only_checks(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(sound()))
    ended = daemon("--settings", str(settings_file), "--check")
    assert (ended.returncode, ended.stdout) == (0, f"{settings_file}: correct\n")


def test_more_connections_than_file_descriptors_are_refused(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(sound() | {"limits": {"connections": 100_000}}))
    command = (
        "import resource, sys; "
        "hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]; "
        "resource.setrlimit(resource.RLIMIT_NOFILE, (1024, hard)); "
        "sys.argv = ['jujubehalld', '--settings', sys.argv[1]]; "
        "from jujubehall.daemon.main import main; main()"
    )
    ended = subprocess.run(
        [sys.executable, "-c", command, str(settings_file)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == EXIT_BAD_SETTINGS
    assert "$.limits.connections" in ended.stderr
