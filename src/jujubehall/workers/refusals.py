"""Reasons with which a worker refuses a command, as ``CommandRefused.reason`` carries them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from jujubehall.errors import Failure

NO_ROOM = "no room"
FENCED = "fenced"
"""Part of the reason if the worker has seen a later epoch than the command's."""


def is_no_room(failure: Failure) -> bool:
    """Whether a worker refused a reservation because its resources are taken."""
    return failure.kind is FailureKind.CONFLICT and NO_ROOM in failure.detail


def is_fenced(failure: Failure) -> bool:
    """Whether a worker refused a command because a later owner has commanded it."""
    return failure.kind is FailureKind.CONFLICT and FENCED in failure.detail
