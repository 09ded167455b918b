"""Client and protocol messages of the endpoints, which run requests."""

from __future__ import annotations
