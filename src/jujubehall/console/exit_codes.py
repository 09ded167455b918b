"""Exit codes of the command-line interface; docs/OPERATIONS.md lists them for operators."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command."""

    SUCCESS = 0
    FAILED = 1
    """The command was carried out and reports a failure, for example a failed job."""

    INVALID = 2
    """The arguments, an input file or the content of a call are invalid; a retry fails again."""

    UNREACHABLE = 3
    """No entry host could be reached; nothing was sent."""

    NOT_RUN = 4
    """The call was rejected and had no effect; a retry may succeed."""

    UNKNOWN = 5
    """The response was lost or is inconclusive: the call may have taken effect."""

    CONFLICT = 6
    """The call conflicts with the current state, for example with a concurrent change."""

    NOT_FOUND = 7
    TIMED_OUT = 8
    """The awaited state was not reached within the timeout; nothing was rolled back."""
