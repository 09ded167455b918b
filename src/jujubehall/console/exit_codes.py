"""Exit codes of the command line; docs/OPERATIONS.md lists them for operators."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command that ended tells the program which started it."""

    SUCCESS = 0
    FAILED = 1
    """The command was carried out and what it reports is a failure, such as a failed job."""

    INVALID = 2
    """The arguments, a file or the content of a call is wrong; repeating it changes nothing."""

    UNREACHABLE = 3
    """No entry host could be reached; nothing was sent."""

    NOT_RUN = 4
    """Refused without effect; the same command may succeed later."""

    UNKNOWN = 5
    """No answer proves whether it took effect."""

    CONFLICT = 6
    """Somebody else changed the same thing first."""

    NOT_FOUND = 7
    TIMED_OUT = 8
    """What the command waited for did not come in time; nothing was undone."""
