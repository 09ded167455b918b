"""Long randomised runs: all workloads and all failures mixed, all promises checked.

``python -m jujubehall.testing.randomised --seed 1 --steps 200``
"""

from __future__ import annotations
