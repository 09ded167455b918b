"""HTTP interface for operators: configuration, teams, audit trail, site state."""

from __future__ import annotations
