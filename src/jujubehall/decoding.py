"""Decoding of bytes from other processes.

``msgspec`` raises ``RecursionError``, and not its own error, for a value that is nested thousands of
times, also in a field that the type doesn't have. Callers that skip or refuse undecodable bytes would
not catch it, and one such value would keep them from reading all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable


def decode_json(content: bytes, type_: type[Any]) -> Any:
    """Decodes JSON; raises ``msgspec.DecodeError`` if it is invalid or doesn't match ``type_``."""
    return _decode(msgspec.json.decode, content, type_)


def decode_msgpack(content: bytes, type_: type[Any]) -> Any:
    """Decodes MessagePack; raises ``msgspec.DecodeError`` as ``decode_json`` does."""
    return _decode(msgspec.msgpack.decode, content, type_)


def _decode(decode: Callable[..., Any], content: bytes, type_: type[Any]) -> Any:
    try:
        return decode(content, type=type_)
    except RecursionError as error:
        raise msgspec.DecodeError("the value is nested too deeply") from error
