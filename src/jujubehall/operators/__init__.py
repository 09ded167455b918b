"""HTTP API for operators: configuration, teams, audit trail, site state and monitoring."""

from __future__ import annotations
