"""Parses JSON values given as command-line arguments."""

from __future__ import annotations

from typing import Any

import msgspec


def parse_json_or_string(text: str) -> Any:
    """Decodes ``text`` as JSON, or returns it unchanged if it isn't valid JSON.

    >>> parse_json_or_string("0.7"), parse_json_or_string("busy")
    (0.7, 'busy')
    """
    try:
        return msgspec.json.decode(text.encode())
    except msgspec.DecodeError:
        return text
