"""Messages between entry hosts and the transport that carries them."""

from __future__ import annotations
