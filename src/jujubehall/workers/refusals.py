"""Reasons why a worker refuses a command, as found in ``CommandRefused.reason``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from jujubehall.errors import Failure

NO_ROOM = "no room"
FENCED = "fenced"
"""Substring of the reason if the worker has seen a later epoch than that of the command."""


def is_no_room(failure: Failure) -> bool:
    """Returns whether a worker refused a reservation for lack of free resources."""
    return failure.kind is FailureKind.CONFLICT and NO_ROOM in failure.detail


def is_fenced(failure: Failure) -> bool:
    """Returns whether a worker refused a command because of a later owner's epoch."""
    return failure.kind is FailureKind.CONFLICT and FENCED in failure.detail
