"""The command line of randomised runs."""

from __future__ import annotations

import argparse
import logging
import sys

from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import structlog

from jujubehall.testing.randomised.registry import ACTIONS
from jujubehall.testing.randomised.registry import INVARIANTS
from jujubehall.testing.randomised.run import RunResult
from jujubehall.testing.randomised.run import Trace
from jujubehall.testing.randomised.run import replay
from jujubehall.testing.randomised.run import run_seed

if TYPE_CHECKING:
    from collections.abc import Iterator


def main() -> None:
    """Makes the runs; exits with 1 if a promise was broken."""
    arguments = _parse()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    counts: Counter[str] = Counter()
    failed = 0
    for result in _results(arguments):
        counts.update(result.counts)
        if result.violation:
            failed += 1
            _report(result, arguments.trace)
        else:
            held = f"{len(result.trace.steps)} steps, all promises held"
            print(f"seed {result.trace.seed}: {held}", flush=True)
    _print_coverage(counts)
    sys.exit(1 if failed else 0)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m jujubehall.testing.randomised")
    parser.add_argument("--seed", type=int, default=0, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one run each")
    parser.add_argument("--steps", type=int, default=150, help="steps of each run")
    parser.add_argument("--trace", type=Path, help="where to write the trace of a failing run")
    parser.add_argument("--replay", type=Path, help="a trace to replay in place of seeds")
    return parser.parse_args()


def _results(arguments: argparse.Namespace) -> Iterator[RunResult]:
    if arguments.replay:
        yield replay(msgspec.json.decode(arguments.replay.read_bytes(), type=Trace))
        return
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        yield run_seed(seed, arguments.steps)


def _report(result: RunResult, trace_file: Path | None) -> None:
    print(f"seed {result.trace.seed}: VIOLATED after {len(result.trace.steps)} steps")
    print(result.violation)
    if trace_file is not None:
        trace_file.write_bytes(msgspec.json.encode(result.trace))
        print(f"replay it with --replay {trace_file}")


def _print_coverage(counts: Counter[str]) -> None:
    print("taken:")
    for name in sorted(ACTIONS):
        kind = "failure" if ACTIONS[name].is_failure else "workload"
        print(f"  {counts[name]:6d}  {name} ({kind})")
    print("checked:")
    for promise in sorted({each.promise for each in INVARIANTS}):
        print(f"  {promise}")


if __name__ == "__main__":
    main()
