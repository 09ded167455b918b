"""A failed call to the entry hosts, with the exit code and the advice that go with it."""

from __future__ import annotations

import msgspec

from jujubehall.console.exit_codes import ExitCode


class CallFailure(msgspec.Struct, frozen=True):
    """What failed, at which step and with which peer, and what the operator can do next."""

    exit_code: ExitCode
    message: str
    step: str = ""
    peer: str = ""

    @property
    def advice(self) -> str:
        """What to do next."""
        return _ADVICE[self.exit_code]


_ADVICE = {
    ExitCode.SUCCESS: "",
    ExitCode.FAILED: "Look at the reason above; an operator's log has the rest.",
    ExitCode.INVALID: "Correct the named value and run the command again.",
    ExitCode.UNREACHABLE: (
        "Check the addresses given by --entry-host or JUJUBEHALL_ENTRY_HOSTS, and that the "
        "daemons run."
    ),
    ExitCode.NOT_RUN: "Nothing was changed. Run the same command again in a few seconds.",
    ExitCode.UNKNOWN: (
        "It may have taken effect. Look before repeating it: show the job, the request by its "
        "identifier, or the configuration's history."
    ),
    ExitCode.CONFLICT: "Read the present state, then decide whether your change still applies.",
    ExitCode.NOT_FOUND: "List what there is, and check the name.",
    ExitCode.TIMED_OUT: "It goes on without you: run the command again to keep waiting.",
}
