"""Sends a request and retries it while the answer states that it did not run."""

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

EXIT_CODE_BY_OUTCOME = {
    Outcome.COMPLETED: ExitCode.SUCCESS,
    Outcome.NOT_RUN: ExitCode.NOT_RUN,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}


def send_with_retries(
    client: SiteClient, request: Request, retry_timeout_ms: int
) -> Result[Answer, CallFailure]:
    """Sends a request and retries it under the same identifier after each ``NOT_RUN`` answer.

    Waits for the delay that the answer requests before each retry. Returns the last answer if the
    next retry would start later than ``retry_timeout_ms`` after the first attempt.
    """
    clock = system_clock()
    timeout_at_ms = clock.now_ms + retry_timeout_ms
    while True:
        result = client.send_request(request)
        if isinstance(result, Err) or result.ok_value.outcome is not Outcome.NOT_RUN:
            return result
        retry_delay_ms = result.ok_value.retry_after_ms
        if clock.now_ms + retry_delay_ms > timeout_at_ms:
            return result
        time.sleep(to_seconds(retry_delay_ms))
