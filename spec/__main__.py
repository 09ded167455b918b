"""Checks every model and every broken variant: ``python -m spec [--more-steps N]``."""

from __future__ import annotations

import argparse
import sys

from spec.catalogue import CATALOGUE
from spec.checker import find_violation


def main() -> None:
    """Prints a line for each model; exits with 1 if one of them doesn't end as expected."""
    parser = argparse.ArgumentParser(prog="python -m spec")
    parser.add_argument("--more-steps", type=int, default=0, help="search that many steps deeper")
    arguments = parser.parse_args()
    failed = False
    for entry in CATALOGUE:
        steps = entry.max_steps + arguments.more_steps
        run = find_violation(entry.model, steps)
        outcome = f"holds for {steps} steps" if run is None else f"violated: {' -> '.join(run)}"
        as_expected = (run is not None) == entry.is_broken
        failed = failed or not as_expected
        print(f"{'ok' if as_expected else 'WRONG'}  {entry.model.name}: {outcome}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
