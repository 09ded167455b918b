"""Decoding of bytes from other processes.

``msgspec`` raises ``RecursionError``, and not its own error, for a value that is nested thousands of
times, also in a field that the type doesn't have. Callers that skip or refuse undecodable bytes would
not catch it, and one such value would keep them from reading all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_NUMBER = 2**53
"""Largest number accepted from other processes: up to it, each integer is exact as a float. JSON has
no limit, and calculations with an integer of hundreds of digits raise ``OverflowError``."""

MAX_AMOUNT = 10**9
"""Largest amount of a resource, such as a million cores in millicores. The total of a job of the
largest size still fits in the 64 bits of a message between entry hosts."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


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
