"""The README's first command."""

from __future__ import annotations

import json
import subprocess
import sys

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

DEMO = [sys.executable, "-m", "jujubehall.console.application", "demo"]

ONE_ENTRY_HOST = {
    "zones": ["zone-a"],
    "entry_hosts": 1,
    "endpoints": 1,
    "workers": 4,
    "workers_per_rack": 4,
    "worker_capacity": {"accelerators": 8, "cores": 60, "memory_gb": 250},
}


def test_the_demo_goes_as_expected() -> None:
    ended = subprocess.run(DEMO, capture_output=True, text=True, check=False)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    for heading in ("Requests", "Jobs, as they ended", "Audit trail", "Exit code"):
        assert heading in ended.stdout


def test_the_demo_fails_when_something_is_not_as_expected(tmp_path: Path) -> None:
    spec = {"team": "renders", "kind": "mix", "parts": 1, "accelerators_per_part": 1}
    jobs = tmp_path / "jobs.json"
    jobs.write_text(json.dumps([{"id": "broken", "spec": spec | {"command": "fail"}}]))
    site = tmp_path / "site.json"
    site.write_text(json.dumps(ONE_ENTRY_HOST))
    command = [*DEMO, "--site", str(site), "--jobs", str(jobs), "--json"]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ended.returncode == 1, ended.stdout + ended.stderr
    failed = [each["what"] for each in json.loads(ended.stdout) if not each["held"]]
    assert failed == ["broken succeeds"]


def test_a_faulty_site_file_is_refused(tmp_path: Path) -> None:
    site = tmp_path / "site.json"
    site.write_text("{}")
    ended = subprocess.run(
        [*DEMO, "--site", str(site)], capture_output=True, text=True, check=False
    )
    assert ended.returncode == 2
    assert str(site) in ended.stderr
