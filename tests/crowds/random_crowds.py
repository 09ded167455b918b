"""Random crowds, one after the other and all at once, against one entry host that is then stopped.

``python -m tests.crowds.random_crowds --seeds 50`` runs the given number of seeds from ``--first``
on, and prints those that failed.
"""

from __future__ import annotations

import argparse
import signal
import sys

from contextlib import ExitStack
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from tests.crowds.crowd import Crowd
from tests.crowds.misbehaviour import KIB
from tests.crowds.misbehaviour import Misbehaviour
from tests.crowds.misbehaviour import kinds
from tests.crowds.misbehaviour import submissions
from tests.crowds.ordinary_caller import JOB_PATH
from tests.crowds.ordinary_caller import is_accepted
from tests.crowds.small_machine import LIMITS
from tests.crowds.small_machine import check_limits
from tests.crowds.small_machine import usage_of
from tests.platform.adapter.entry_host_process import METRICS_PORT
from tests.platform.adapter.entry_host_process import PORT
from tests.platform.adapter.entry_host_process import READINESS_PORT
from tests.platform.adapter.entry_host_process import TIMEOUT_S
from tests.platform.adapter.entry_host_process import EntryHostProcess
from tests.platform.adapter.entry_host_process import start_fake_platform
from tests.platform.adapter.entry_host_process import wait_until

CROWDS = 4
CLEAN_EXITS = (0, 1)
"""A planned stop, or one that ran out of time for the calls in progress."""


def run_random_crowds(seed: int, directory: Path) -> None:
    """Fails with ``AssertionError`` if the entry host doesn't bear the crowds of ``seed``."""
    random = Random(seed)
    with start_fake_platform() as platform, ExitStack() as crowds:
        host = EntryHostProcess(directory, seed % 100, platform.store, LIMITS)
        crowds.callback(host.kill)
        wait_until(host.is_ready)
        usage = usage_of(host)
        for _ in range(CROWDS):
            port = random.choice((PORT, PORT, PORT, READINESS_PORT, METRICS_PORT))
            crowd = Crowd((host.ip, port), choose_kind(random), usage.sample)
            crowds.enter_context(crowd).press()
            if random.random() < 0.3:
                host.process.send_signal(signal.SIGSTOP)
                usage.sample()
                host.process.send_signal(signal.SIGCONT)
            assert host.process.poll() is None, host.log[-2_000:]
            wait_until(lambda: is_accepted(host))
        peak = usage.peak()
        check_limits(peak)
        host.process.send_signal(signal.SIGTERM)
        assert host.process.wait(TIMEOUT_S) in CLEAN_EXITS, host.log[-2_000:]


def choose_kind(random: Random) -> Misbehaviour:
    kind = random.choice([*kinds(JOB_PATH), *submissions(JOB_PATH)])
    pieces = (512, 4 * KIB, 64 * KIB, kind.piece_bytes)
    clients = min(kind.clients, random.randint(20, 200))
    return kind._replace(clients=clients, piece_bytes=random.choice(pieces))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1)
    arguments = parser.parse_args()
    failed = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        with TemporaryDirectory() as directory:
            try:
                run_random_crowds(seed, Path(directory))
            except AssertionError as error:
                failed.append(seed)
                print(f"seed {seed}: {error}", flush=True)
    print(f"{arguments.seeds} seeds from {arguments.first}, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
