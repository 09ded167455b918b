"""Describes a failed command or call to an entry host: message, exit code and advice."""

from __future__ import annotations

import msgspec

from jujubehall.console.exit_codes import ExitCode


class CallFailure(msgspec.Struct, frozen=True):
    """A failure with the step and the peer at which it occurred; ``peer`` may be empty."""

    exit_code: ExitCode
    message: str
    step: str = ""
    peer: str = ""

    @property
    def advice(self) -> str:
        """What the operator should do next."""
        return _ADVICE[self.exit_code]


_ADVICE = {
    ExitCode.SUCCESS: "",
    ExitCode.FAILED: "See the reason above; the logs of the entry hosts have the details.",
    ExitCode.INVALID: "Correct the value named above and run the command again.",
    ExitCode.UNREACHABLE: (
        "Check the addresses in --entry-host or JUJUBEHALL_ENTRY_HOSTS, and that the daemons are "
        "running."
    ),
    ExitCode.NOT_RUN: "Nothing was changed. Retry the same command in a few seconds.",
    ExitCode.UNKNOWN: (
        "The operation may have taken effect. Before retrying, check the state of the job, the "
        "request (by its identifier) or the configuration history."
    ),
    ExitCode.CONFLICT: "Read the current state, then decide whether the change still applies.",
    ExitCode.NOT_FOUND: "List the existing items and check the name.",
    ExitCode.TIMED_OUT: "The operation continues; run the command again to keep waiting.",
}
