"""Demonstration of a small site of real processes on loopback, exercised over its HTTP API."""

from __future__ import annotations
