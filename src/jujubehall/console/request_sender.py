"""Sends a request and tries again while the answer proves that it did not run."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

from result import Err

from jujubehall.clock import system_clock
from jujubehall.clock import to_seconds
from jujubehall.console.exit_codes import ExitCode
from jujubehall.core.requests.request import Outcome

if TYPE_CHECKING:
    from result import Result

    from jujubehall.console.call_failure import CallFailure
    from jujubehall.console.site_client import SiteClient
    from jujubehall.core.requests.request import Answer
    from jujubehall.core.requests.request import Request

EXIT_CODE_OF_OUTCOME = {
    Outcome.COMPLETED: ExitCode.SUCCESS,
    Outcome.NOT_RUN: ExitCode.NOT_RUN,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}


def send_until_run(
    site: SiteClient, request: Request, patience_ms: int
) -> Result[Answer, CallFailure]:
    """Repeats the request under its identifier after each "not run", for ``patience_ms``."""
    clock = system_clock()
    give_up_at_ms = clock.now_ms + patience_ms
    while True:
        answered = site.send_request(request)
        if isinstance(answered, Err) or answered.ok_value.outcome is not Outcome.NOT_RUN:
            return answered
        wait_ms = answered.ok_value.retry_after_ms
        if clock.now_ms + wait_ms > give_up_at_ms:
            return answered
        time.sleep(to_seconds(wait_ms))
