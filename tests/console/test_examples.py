"""Checks the example files: they are valid and describe the site sizes stated by their users."""

from __future__ import annotations

from pathlib import Path

import pytest

from jujubehall.console.demo.inputs import DemoFiles
from jujubehall.console.demo.inputs import read_inputs
from jujubehall.daemon.settings import load_settings

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(("user", "entry_hosts", "cores"), [("ogechi", 7, 60), ("nangolo", 8, 130)])
def test_example_files_are_consistent(user: str, entry_hosts: int, cores: int) -> None:
    folder = EXAMPLES / user
    files = DemoFiles(
        *(str(folder / f"{name}.json") for name in ("site", "teams", "requests", "jobs"))
    )
    inputs = read_inputs(files).unwrap()
    site = inputs.site
    assert (len(site.zones), site.entry_hosts) == (3, entry_hosts)
    assert (site.workers, site.workers_per_rack, site.endpoints) == (24, 8, 24)
    assert (site.worker_capacity.accelerators, site.worker_capacity.cores) == (8, cores)
    settings = load_settings(folder / "settings.json").unwrap()
    assert settings.zone in site.zones
    teams = {team.name for team in inputs.teams}
    assert len(teams) == 4
    assert {request.team for request in inputs.requests} <= teams
    assert {job.spec.team for job in inputs.jobs} <= teams
