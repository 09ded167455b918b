"""The daemon ``jujubehalld``: settings, wiring and start and stop of the process."""

from __future__ import annotations
