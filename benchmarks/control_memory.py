"""Measures the resident memory that the daemon's imports take, each in a fresh interpreter.

Run it with ``python -m benchmarks.control_memory``. One run measures all imports in turn.
"""

from __future__ import annotations

import subprocess
import sys

IMPORTS = {
    "bare interpreter": "pass",
    "argparse": "import argparse",
    "msgspec": "import msgspec",
    "structlog": "import structlog",
    "result": "import result",
    "aioprometheus": "import aioprometheus",
    "orjson alone": "import orjson",
    "pyzmq with asyncio": "import zmq, zmq.asyncio",
    "asyncio alone": "import asyncio",
    "twisted asyncio reactor": "from twisted.internet import asyncioreactor",
    "twisted.web server": "import twisted.web.server",
    "twisted.web client": "import twisted.web.client",
    "jsonschema": "import jsonschema",
    "cleo": "import cleo.application",
    "daemon, all of it": (
        "import asyncio\nfrom twisted.internet import asyncioreactor\n"
        "asyncioreactor.install(asyncio.new_event_loop())\nimport jujubehall.daemon.process"
    ),
}

REPORT_CODE = """
import re
text = open('/proc/self/status').read()
print(*(re.search(name + r':\\s+(\\d+)', text)[1] for name in ('VmRSS', 'RssAnon')))
import sys
print(len(sys.modules))
"""


def main() -> None:
    """Prints one line for each import."""
    baseline_mb: tuple[float, float] | None = None
    print(f"{'import':26} resident MB  anonymous MB  over bare MB  modules")
    for name, code in IMPORTS.items():
        run = subprocess.run(
            [sys.executable, "-c", code + REPORT_CODE], capture_output=True, text=True, check=True
        )
        resident_kib, anonymous_kib, modules = (int(word) for word in run.stdout.split())
        resident_mb, anonymous_mb = resident_kib / 1024, anonymous_kib / 1024
        baseline_mb = baseline_mb or (resident_mb, anonymous_mb)
        added_mb = resident_mb - baseline_mb[0]
        print(f"{name:26} {resident_mb:11.1f} {anonymous_mb:13.1f} {added_mb:13.1f} {modules:8}")


if __name__ == "__main__":
    main()
