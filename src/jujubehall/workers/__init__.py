"""Client and protocol messages of the workers, which run tasks under leases."""

from __future__ import annotations
