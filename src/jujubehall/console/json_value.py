"""Values given on the command line."""

from __future__ import annotations

from typing import Any

import msgspec


def parse_value(text: str) -> Any:
    """Reads ``text`` as JSON, or as a plain string if it isn't JSON.

    >>> parse_value("0.7"), parse_value("busy")
    (0.7, 'busy')
    """
    try:
        return msgspec.json.decode(text.encode())
    except msgspec.DecodeError:
        return text
