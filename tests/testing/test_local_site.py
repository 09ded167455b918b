"""Tests the ports and the start of sites of operating-system processes."""

from __future__ import annotations

import os
import subprocess
import sys

from pathlib import Path
from unittest.mock import Mock

import httpx
import pytest

from jujubehall.testing import local_site
from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import ProcessExited
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources
from tests.end_to_end.calls import CLIENT

SEARCH_FROM_THE_SAME_BLOCK = """
import os, sys
os.getpid = lambda: int(sys.argv[1])
from jujubehall.testing.local_site import find_free_port_block
print(find_free_port_block())
"""


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


def test_another_process_does_not_choose_the_ports_of_a_site_that_has_not_bound_them() -> None:
    with LocalSite(make_site_file(), autostart=False) as site:
        command = [sys.executable, "-c", SEARCH_FROM_THE_SAME_BLOCK, str(os.getpid())]
        other = subprocess.run(command, check=True, capture_output=True, text=True)
        assert int(other.stdout) != site.site.first_port


def test_block_is_free_again_once_its_site_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    with LocalSite(make_site_file(), autostart=False) as site:
        first_port = site.site.first_port
        monkeypatch.setattr(local_site, "FIRST_CANDIDATE_PORT", first_port - 1)
        monkeypatch.setattr(local_site, "PORT_BLOCK_COUNT", 1)
        with pytest.raises(OSError, match="every block"):
            find_free_port_block()
    assert find_free_port_block() == first_port
    local_site.release_port_block(first_port)


def test_wait_until_ready_fails_at_once_if_a_stand_in_has_exited() -> None:
    with LocalSite(make_site_file(), autostart=False) as site:
        site.start_stand_in("platform")
        site.kill("platform")
        with pytest.raises(ProcessExited, match="platform exited with code -9"):
            site.wait_until_ready(["entry-0"])


def test_wait_until_ready_reports_a_stand_in_whose_port_another_program_serves() -> None:
    with LocalSite(make_site_file(), autostart=False) as site:
        site.start_stand_in("platform")
        with LocalSite(site.site, autostart=False) as other:
            wait_until(lambda: _responds(site), "the first platform responds")
            other.start_stand_in("platform")
            with pytest.raises(ProcessExited, match=r"(?s)platform exited.*Address already in use"):
                other.wait_until_ready(["entry-0"])


def _responds(site: LocalSite) -> bool:
    try:
        return bool(CLIENT.get(site.site.platform_address).status_code)
    except httpx.TransportError:
        return False
