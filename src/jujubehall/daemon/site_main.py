"""Command line entry point of an entry host on the operators' platform.

Run as ``python -m jujubehall.daemon.site_main [--scheduling PATH]``.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

from pathlib import Path
from random import SystemRandom

from result import Err

from jujubehall.daemon.main import EXIT_ADDRESS_IN_USE
from jujubehall.daemon.main import EXIT_FAILED
from jujubehall.daemon.main import EXIT_INVALID_SETTINGS
from jujubehall.daemon.scheduling_settings import load_scheduling_settings
from jujubehall.platform.adapter.settings import load_site_settings


def main() -> None:
    """Reads the settings of the operators' platform, then serves until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scheduling", type=Path, help="JSON file with the scheduling settings")
    scheduling_path = parser.parse_args().scheduling
    scheduling = load_scheduling_settings(scheduling_path)
    if isinstance(scheduling, Err):
        for line in scheduling.err_value:
            print(f"jujubehalld: {scheduling_path}: {line}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    loaded = load_site_settings()
    if isinstance(loaded, Err):
        print(f"jujubehalld: {loaded.err_value}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    # The reactor must be installed before anything imports twisted.internet.reactor.
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)

    from jujubehall.daemon.site_process import SiteProcess
    from jujubehall.daemon.site_process import start_site_process

    process = start_site_process(loaded.ok_value, scheduling.ok_value, SystemRandom())
    if not isinstance(process, SiteProcess):
        print(f"jujubehalld: {process}", file=sys.stderr)
        sys.exit(EXIT_ADDRESS_IN_USE)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: process.begin_shutdown_from_signal())
    # SIGHUP reloads nothing: addresses and names don't change during the life of a process, and
    # changed limits take effect at the next start.
    signal.signal(signal.SIGHUP, lambda *_: process.log_settings_change())
    process.run()
    sys.exit(0 if process.stopped_cleanly else EXIT_FAILED)


if __name__ == "__main__":
    main()
