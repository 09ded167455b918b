"""A complete site simulated in virtual time: store, workers, cloud, entry hosts and faults."""

from __future__ import annotations
