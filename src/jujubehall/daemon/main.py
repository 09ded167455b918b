"""Starts the daemon: ``jujubehalld --settings FILE``."""

from __future__ import annotations

import argparse
import asyncio
import resource
import signal
import sys

from pathlib import Path
from random import SystemRandom
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from jujubehall.daemon.settings import load_settings

if TYPE_CHECKING:
    from jujubehall.daemon.settings import Settings

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
EXIT_ADDRESS_TAKEN = 3

OWN_DESCRIPTORS = 384
"""File descriptors kept for connections to endpoints, workers, the platform and entry hosts."""


def main() -> None:
    """Reads the command line and the settings, then serves until a signal."""
    parser = argparse.ArgumentParser(prog="jujubehalld", description="An entry host's daemon.")
    parser.add_argument("--settings", type=Path, required=True, help="the JSON settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    arguments = parser.parse_args()
    loaded = load_settings(arguments.settings).and_then(check_descriptors)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(f"jujubehalld: {arguments.settings}: {fault}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if arguments.check:
        print(f"{arguments.settings}: correct")
        return
    sys.exit(serve(loaded.ok_value))


def check_descriptors(settings: Settings) -> Result[Settings, list[str]]:
    """Refuses a bound on connections that the process may not open files for."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    wanted = settings.limits.connections
    if allowed == resource.RLIM_INFINITY or wanted + OWN_DESCRIPTORS <= allowed:
        return Ok(settings)
    fault = (
        f"$.limits.connections: {wanted} and {OWN_DESCRIPTORS} of the daemon's own are more than "
        f"the {allowed} file descriptors that the process may open"
    )
    return Err([fault])


def serve(settings: Settings) -> int:
    """Serves until SIGTERM or SIGINT; returns the exit code."""
    # The reactor must be installed before anything imports twisted.internet.reactor.
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)

    from jujubehall.daemon.process import Process
    from jujubehall.daemon.process import start_process

    started = start_process(settings, SystemRandom())
    if not isinstance(started, Process):
        print(f"jujubehalld: {started}", file=sys.stderr)
        return EXIT_ADDRESS_TAKEN
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: started.begin_stop_soon())
    started.run()
    return 0 if started.stopped_cleanly else EXIT_FAILED


if __name__ == "__main__":
    main()
