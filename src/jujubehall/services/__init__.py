"""Services that execute decisions through the platform, worker and peer clients."""

from __future__ import annotations
