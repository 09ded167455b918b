"""The daemon's memory is scarce: it loads no library that only tools and faults need."""

from __future__ import annotations

import subprocess
import sys

import pytest

UNWANTED = ("cleo", "httpx", "jsonschema", "jujubehall.console", "jujubehall.testing")


@pytest.mark.parametrize(
    "modules",
    [
        "jujubehall.daemon.main, jujubehall.daemon.process",
        "jujubehall.daemon.site_main, jujubehall.daemon.site_process",
    ],
)
def test_the_daemons_load_no_library_of_the_tools(modules: str) -> None:
    code = (
        f"import sys, {modules}; " f"print([name for name in {UNWANTED!r} if name in sys.modules])"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ended.stdout.strip() == "[]"
