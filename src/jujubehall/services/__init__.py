"""Services that carry out decisions over the clients of the peers."""

from __future__ import annotations
