"""Small stand-ins for the peers: key-value service, host list, workers and endpoints."""

from __future__ import annotations
