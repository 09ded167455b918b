"""The daemons import no library that only tools or error reports need, to save memory."""

from __future__ import annotations

import subprocess
import sys

import pytest

FORBIDDEN_MODULES = ("cleo", "httpx", "jsonschema", "jujubehall.console", "jujubehall.testing")


@pytest.mark.parametrize(
    "modules",
    [
        "jujubehall.daemon.main, jujubehall.daemon.process",
        "jujubehall.daemon.site_main, jujubehall.daemon.site_process",
    ],
)
def test_daemons_do_not_import_tool_libraries(modules: str) -> None:
    code = (
        f"import sys, {modules}; "
        f"print([name for name in {FORBIDDEN_MODULES!r} if name in sys.modules])"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ended.stdout.strip() == "[]"
