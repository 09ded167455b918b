"""The demonstration: a small site of real processes on loopback, driven from the outside."""

from __future__ import annotations
