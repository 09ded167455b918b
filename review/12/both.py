"""Runs the two parts of the case one after the other; see claim.txt."""

from __future__ import annotations

import sys

import case
import rack

if __name__ == "__main__":
    codes = [
        case.run_case(case.HERE, 62, case.run),
        rack.run_case(rack.HERE, 62, rack.run, adds_to_record=True),
    ]
    sys.exit(max(codes))
