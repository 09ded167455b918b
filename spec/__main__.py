"""Checks every model and every broken variant: ``python -m spec [--more-steps N]``."""

from __future__ import annotations

import argparse
import sys

from spec.catalogue import CATALOGUE
from spec.checker import find_violation


def main() -> None:
    """Prints one line for each model; exits with 1 if a result isn't the expected one."""
    parser = argparse.ArgumentParser(prog="python -m spec")
    parser.add_argument("--more-steps", type=int, default=0, help="search this many steps deeper")
    arguments = parser.parse_args()
    failed = False
    for entry in CATALOGUE:
        max_steps = entry.max_steps + arguments.more_steps
        violation = find_violation(entry.model, max_steps)
        result = (
            f"holds for {max_steps} steps"
            if violation is None
            else f"violated: {' -> '.join(violation)}"
        )
        as_expected = (violation is not None) == entry.is_broken
        failed = failed or not as_expected
        print(f"{'ok' if as_expected else 'WRONG'}  {entry.model.name}: {result}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
