"""Randomised tests of a simulated site: mixed workloads and failures, with invariant checks.

``python -m jujubehall.testing.randomised --seed 1 --steps 200``
"""

from __future__ import annotations
