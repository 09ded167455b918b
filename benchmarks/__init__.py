"""Measurements; each module is run as ``python -m benchmarks.<name>`` and prints its figures."""

from __future__ import annotations
