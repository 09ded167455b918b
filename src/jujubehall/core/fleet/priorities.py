"""Priorities of queues; a lower number goes first."""

from __future__ import annotations

MOST_URGENT = 0
"""Work of this priority may preempt all other."""

LOWEST_PRIORITY = 100
"""Given to jobs whose queue the configuration no longer has."""

DEFERRABLE = 2
"""From this priority on, work leaves room for urgent work that is likely to come."""
