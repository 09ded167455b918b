"""Starts an entry host on the operators' platform: ``python -m jujubehall.daemon.site_main``."""

from __future__ import annotations

import asyncio
import signal
import sys

from random import SystemRandom

from result import Err

from jujubehall.daemon.main import EXIT_ADDRESS_TAKEN
from jujubehall.daemon.main import EXIT_BAD_SETTINGS
from jujubehall.daemon.main import EXIT_FAILED
from jujubehall.platform.adapter.settings import load_site_settings


def main() -> None:
    """Reads the platform's settings, then serves until a signal."""
    loaded = load_site_settings()
    if isinstance(loaded, Err):
        print(f"jujubehalld: {loaded.err_value}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    # The reactor must be installed before anything imports twisted.internet.reactor.
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)

    from jujubehall.daemon.site_process import SiteProcess
    from jujubehall.daemon.site_process import start_site_process

    started = start_site_process(loaded.ok_value, SystemRandom())
    if not isinstance(started, SiteProcess):
        print(f"jujubehalld: {started}", file=sys.stderr)
        sys.exit(EXIT_ADDRESS_TAKEN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: started.begin_stop_soon())
    # Addresses and names don't change while a process lives; bounds are read at the next start.
    signal.signal(signal.SIGHUP, lambda *_: started.note_settings_changed())
    started.run()
    sys.exit(0 if started.stopped_cleanly else EXIT_FAILED)


if __name__ == "__main__":
    main()
