"""Loading a settings file, with all its errors in one report."""

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

EXIT_INVALID_SETTINGS = 2


def valid_settings() -> dict[str, Any]:
    return {
        "name": "entry-0",
        "zone": "zone-a",
        "platform": "http://10.0.0.1:8500",
        "listen": {"host": "10.0.0.2", "http_port": 8080, "mesh_port": 8081},
    }


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    return tmp_path / "settings.json"


def test_valid_settings_are_accepted(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(valid_settings()))
    assert load_settings(settings_file).unwrap().listen.http_port == 8080


def test_every_error_is_reported_with_its_path(settings_file: Path) -> None:
    invalid = valid_settings() | {
        "zone": 3,
        "platfrom": "x",
        "stop_timeout_ms": -1,
        "memory_mb": 10,
        "platform": "10.0.0.1",
    }
    invalid["listen"] = {"host": "0.0.0.0", "http_port": 70_000, "odd key": 1}
    invalid["limits"] = {"connections": 0, "body_bytes": "many"}
    settings_file.write_text(json.dumps(invalid))
    assert load_settings(settings_file).unwrap_err() == [
        '$.limits.body_bytes: "many" is not of type integer',
        "$.limits.connections: 0 is less than the minimum of 1",
        '$.listen.host: "0.0.0.0" is not an IPv4 address other than 0.0.0.0',
        "$.listen.http_port: 70000 is greater than the maximum of 65535",
        "$.listen.mesh_port: is missing",
        '$.listen["odd key"]: unknown key',
        "$.memory_mb: 10 is less than the minimum of 64",
        '$.platform: "10.0.0.1" is not a base URL such as http://10.0.0.1:8500',
        "$.platfrom: unknown key",
        "$.stop_timeout_ms: -1 is less than the minimum of 0",
        "$.zone: 3 is not of type string",
    ]


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (b"{", "$: not JSON"),
        (b"[]", "$: [] is not of type object"),
        (b'"\xff"', "$: not JSON"),
        (b"[" * 100_000, "$: not JSON"),
    ],
)
def test_content_other_than_an_object_gives_one_error(
    settings_file: Path, content: bytes, message: str
) -> None:
    settings_file.write_bytes(content)
    errors = load_settings(settings_file).unwrap_err()
    assert len(errors) == 1
    assert errors[0].startswith(message)


def test_equal_ports_are_rejected(settings_file: Path) -> None:
    invalid = valid_settings()
    invalid["listen"]["mesh_port"] = 8080
    settings_file.write_text(json.dumps(invalid))
    errors = load_settings(settings_file).unwrap_err()
    assert errors == ["$.listen.mesh_port: 8080 must differ from $.listen.http_port"]


def test_missing_file_is_reported(settings_file: Path) -> None:
    assert load_settings(settings_file).unwrap_err() == [
        "cannot be read: No such file or directory"
    ]


def run_daemon(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "jujubehall.daemon.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_daemon_exits_if_settings_are_invalid(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(valid_settings() | {"zone": 3, "name": ""}))
    finished = run_daemon("--settings", str(settings_file))
    assert finished.returncode == EXIT_INVALID_SETTINGS
    assert len(finished.stderr.splitlines()) == 2


def test_check_option_validates_and_exits(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(valid_settings()))
    finished = run_daemon("--settings", str(settings_file), "--check")
    assert (finished.returncode, finished.stdout) == (0, f"{settings_file}: correct\n")


def test_connection_limit_above_file_descriptor_limit_is_rejected(settings_file: Path) -> None:
    settings_file.write_text(json.dumps(valid_settings() | {"limits": {"connections": 100_000}}))
    command = (
        "import resource, sys; "
        "hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]; "
        "resource.setrlimit(resource.RLIMIT_NOFILE, (1024, hard)); "
        "sys.argv = ['jujubehalld', '--settings', sys.argv[1]]; "
        "from jujubehall.daemon.main import main; main()"
    )
    finished = subprocess.run(
        [sys.executable, "-c", command, str(settings_file)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert finished.returncode == EXIT_INVALID_SETTINGS
    assert "$.limits.connections" in finished.stderr
