"""The configuration: fleet-wide defaults, exceptions, teams and the audit trail."""

from __future__ import annotations
