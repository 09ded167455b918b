"""Command line of the randomised tests."""

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
from jujubehall.testing.randomised.registry import INVARIANT_CHECKS
from jujubehall.testing.randomised.run import RunResult
from jujubehall.testing.randomised.run import Trace
from jujubehall.testing.randomised.run import replay
from jujubehall.testing.randomised.run import run_seed

if TYPE_CHECKING:
    from collections.abc import Iterator


def main() -> None:
    """Executes the requested runs; exits with status 1 if any of them violated an invariant."""
    arguments = _parse_arguments()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    action_counts: Counter[str] = Counter()
    failed = 0
    for result in _results(arguments):
        action_counts.update(result.action_counts)
        if result.violation:
            failed += 1
            _report_violation(result, arguments.trace)
        else:
            summary = f"{len(result.trace.steps)} steps, all invariants held"
            print(f"seed {result.trace.seed}: {summary}", flush=True)
    _print_coverage(action_counts)
    sys.exit(1 if failed else 0)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m jujubehall.testing.randomised")
    parser.add_argument("--seed", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, one run for each")
    parser.add_argument("--steps", type=int, default=150, help="number of steps in each run")
    parser.add_argument("--trace", type=Path, help="file to write the trace of a failed run to")
    parser.add_argument("--replay", type=Path, help="trace file to replay instead of using seeds")
    return parser.parse_args()


def _results(arguments: argparse.Namespace) -> Iterator[RunResult]:
    if arguments.replay:
        yield replay(msgspec.json.decode(arguments.replay.read_bytes(), type=Trace))
        return
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        yield run_seed(seed, arguments.steps)


def _report_violation(result: RunResult, trace_file: Path | None) -> None:
    print(f"seed {result.trace.seed}: invariant violated after {len(result.trace.steps)} steps")
    print(result.violation)
    if trace_file is not None:
        trace_file.write_bytes(msgspec.json.encode(result.trace))
        print(f"to reproduce this run, use --replay {trace_file}")


def _print_coverage(action_counts: Counter[str]) -> None:
    print("taken:")
    for name in sorted(ACTIONS):
        kind = "failure" if ACTIONS[name].is_failure else "workload"
        print(f"  {action_counts[name]:6d}  {name} ({kind})")
    print("checked:")
    for invariant in sorted({check.invariant for check in INVARIANT_CHECKS}):
        print(f"  {invariant}")


if __name__ == "__main__":
    main()
