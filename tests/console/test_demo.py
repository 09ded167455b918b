"""Runs ``jujubehall demo``, the first command that the README shows."""

from __future__ import annotations

import json
import subprocess
import sys

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

DEMO_COMMAND = [sys.executable, "-m", "jujubehall.console.application", "demo"]

SITE_WITH_ONE_ENTRY_HOST = {
    "zones": ["zone-a"],
    "entry_hosts": 1,
    "endpoints": 1,
    "workers": 4,
    "workers_per_rack": 4,
    "worker_capacity": {"accelerators": 8, "cores": 60, "memory_gb": 250},
}


def test_demo_succeeds_with_the_packaged_files() -> None:
    completed = subprocess.run(DEMO_COMMAND, capture_output=True, text=True, check=False)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    for heading in ("Requests", "Final states of the jobs", "Audit trail", "Exit code"):
        assert heading in completed.stdout


def test_demo_fails_if_a_job_fails(tmp_path: Path) -> None:
    spec = {"team": "renders", "kind": "mix", "parts": 1, "accelerators_per_part": 1}
    jobs = tmp_path / "jobs.json"
    jobs.write_text(json.dumps([{"id": "broken", "spec": spec | {"command": "fail"}}]))
    site = tmp_path / "site.json"
    site.write_text(json.dumps(SITE_WITH_ONE_ENTRY_HOST))
    command = [*DEMO_COMMAND, "--site", str(site), "--jobs", str(jobs), "--json"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    assert completed.returncode == 1, completed.stdout + completed.stderr
    failed = [each["what"] for each in json.loads(completed.stdout) if not each["held"]]
    assert failed == ["broken succeeds"]


def test_invalid_site_file_is_rejected(tmp_path: Path) -> None:
    site = tmp_path / "site.json"
    site.write_text("{}")
    completed = subprocess.run(
        [*DEMO_COMMAND, "--site", str(site)], capture_output=True, text=True, check=False
    )
    assert completed.returncode == 2
    assert str(site) in completed.stderr
