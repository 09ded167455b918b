"""A whole site under virtual time: store, workers and entry hosts, with faults."""

from __future__ import annotations
