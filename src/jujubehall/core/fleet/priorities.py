"""Priorities of queues; a lower number is more urgent."""

from __future__ import annotations

HIGHEST_PRIORITY = 0
"""Work of this priority may preempt work of all other priorities."""

LOWEST_PRIORITY = 100
"""Used for jobs whose queue is no longer in the configuration."""

MIN_DEFERRABLE_PRIORITY = 2
"""Work with this priority number or a higher one leaves capacity free for expected urgent work."""
