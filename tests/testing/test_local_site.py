"""Tests the ports and the start of sites of operating-system processes."""

from __future__ import annotations

import subprocess

from pathlib import Path
from typing import TYPE_CHECKING
from unittest.mock import Mock

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    import pytest


def make_site_file() -> SiteFile:
    return SiteFile(("zone-a",), 1, 1, 1, 1, Resources(8, 60, 250), find_free_port_block())


def test_start_of_a_stand_in_does_not_truncate_the_site_file_that_another_one_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    popen = Mock()
    monkeypatch.setattr(subprocess, "Popen", popen)
    with LocalSite(make_site_file(), autostart=False) as site:
        site.start_stand_in("platform")
        read_by_platform = Path(popen.call_args.args[0][-1])
        # A marker shows a rewrite that truncates the file only for a moment.
        read_by_platform.write_text("unchanged")
        site.start_stand_in("workers")
        assert read_by_platform.read_text() == "unchanged"
