"""The ``jujubehalld`` daemon: settings, service wiring, startup and shutdown."""

from __future__ import annotations
