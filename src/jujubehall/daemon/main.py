"""Command line entry point of the daemon: ``jujubehalld --settings FILE``."""

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
EXIT_INVALID_SETTINGS = 2
EXIT_ADDRESS_IN_USE = 3

RESERVED_FILE_DESCRIPTORS = 384
"""File descriptors reserved for connections to endpoints, workers, platform and entry hosts."""


def main() -> None:
    """Reads the command line and the settings, then runs the daemon until a signal."""
    parser = argparse.ArgumentParser(prog="jujubehalld", description="An entry host's daemon.")
    parser.add_argument("--settings", type=Path, required=True, help="the JSON settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    arguments = parser.parse_args()
    loaded = load_settings(arguments.settings).and_then(check_descriptor_limit)
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            print(f"jujubehalld: {arguments.settings}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if arguments.check:
        print(f"{arguments.settings}: correct")
        return
    sys.exit(serve(loaded.ok_value))


def check_descriptor_limit(settings: Settings) -> Result[Settings, list[str]]:
    """Checks that the connection limit fits within the process's limit of file descriptors."""
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    connections = settings.limits.connections
    if (
        descriptor_limit == resource.RLIM_INFINITY
        or connections + RESERVED_FILE_DESCRIPTORS <= descriptor_limit
    ):
        return Ok(settings)
    error = (
        f"$.limits.connections: {connections} connections and {RESERVED_FILE_DESCRIPTORS} reserved "
        f"file descriptors exceed the process limit of {descriptor_limit} (RLIMIT_NOFILE)"
    )
    return Err([error])


def serve(settings: Settings) -> int:
    """Runs the daemon until SIGTERM or SIGINT; returns the exit code."""
    # The reactor must be installed before anything imports twisted.internet.reactor.
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)

    from jujubehall.daemon.process import Process
    from jujubehall.daemon.process import start_process

    process = start_process(settings, SystemRandom())
    if not isinstance(process, Process):
        print(f"jujubehalld: {process}", file=sys.stderr)
        return EXIT_ADDRESS_IN_USE
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: process.begin_shutdown_from_signal())
    process.run()
    return 0 if process.stopped_cleanly else EXIT_FAILED


if __name__ == "__main__":
    main()
