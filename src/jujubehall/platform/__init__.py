"""Client of the platform: its key-value service and its list of hosts."""

from __future__ import annotations
