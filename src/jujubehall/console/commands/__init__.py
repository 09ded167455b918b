"""The commands, one per module; the application imports all of these modules."""

from __future__ import annotations
