"""The commands, one in each module; the application imports them all."""

from __future__ import annotations
