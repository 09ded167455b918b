"""The daemon's memory is scarce: it loads no library that only tools and faults need."""

from __future__ import annotations

import subprocess
import sys

UNWANTED = ("cleo", "httpx", "jsonschema", "jujubehall.console", "jujubehall.testing")


def test_the_daemon_loads_no_library_of_the_tools() -> None:
    code = (
        "import sys, jujubehall.daemon.main, jujubehall.daemon.process; "
        f"print([name for name in {UNWANTED!r} if name in sys.modules])"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ended.stdout.strip() == "[]"
