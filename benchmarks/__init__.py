"""Benchmarks; run one with ``python -m benchmarks.<name>``, which prints its results."""

from __future__ import annotations
