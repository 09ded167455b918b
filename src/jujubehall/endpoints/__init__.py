"""Client of the endpoints, which run requests."""

from __future__ import annotations
