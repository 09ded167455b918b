"""Calls entry hosts over HTTP and tries the next one where that is safe.

Every call of the command line may be repeated at another entry host: reads change nothing,
requests and jobs carry an identifier chosen here, cancelling twice is cancelling once, and
changes of the configuration carry the number that was read and a token of the writer. A call
that isn't repeatable is only tried again if nothing of it was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import httpx
import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.clock import to_seconds
from jujubehall.console.call_failure import CallFailure
from jujubehall.console.exit_codes import ExitCode
from jujubehall.core.requests.request import Answer
from jujubehall.http.error_body import ErrorBody

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jujubehall.core.requests.request import Request

CONNECT_TIMEOUT_MS = 2_000
ANSWER_TIMEOUT_MS = 10_000
REQUEST_MARGIN_MS = 2_000
UNAVAILABLE = 503

_EXIT_CODE_OF_STATUS = {
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    429: ExitCode.NOT_RUN,
    500: ExitCode.FAILED,
    503: ExitCode.NOT_RUN,
    504: ExitCode.UNKNOWN,
}


class SiteClient:
    """Talks to a site through any of its entry hosts, in the given order."""

    def __init__(
        self, addresses: Sequence[str], transport: httpx.BaseTransport | None = None
    ) -> None:
        self._addresses = list(addresses)
        self._transport = transport
        self._http = httpx.Client(trust_env=False, transport=transport)

    def at(self, address: str) -> SiteClient:
        """A client of one entry host only."""
        return SiteClient([address], self._transport)

    def close(self) -> None:
        """Closes the connections."""
        self._http.close()

    def get(self, step: str, path: str, type_: Any) -> Result[Any, CallFailure]:
        """Reads ``path`` and decodes it as ``type_``."""
        return self.call(step, "GET", path, type_)

    def call(
        self,
        step: str,
        method: str,
        path: str,
        type_: Any,
        body: object = None,
        *,
        repeatable: bool = True,
    ) -> Result[Any, CallFailure]:
        """Calls the entry hosts in turn until one of them answers other than "unavailable"."""
        answered = self._exchange(
            step, method, path, body, repeatable=repeatable, timeout_ms=ANSWER_TIMEOUT_MS
        )
        if isinstance(answered, Err):
            return answered
        response = answered.ok_value
        if response.is_success:
            return _decode(response, type_, step)
        return Err(_failure(response, step))

    def send_request(self, request: Request) -> Result[Answer, CallFailure]:
        """Sends a request; any of the three outcomes counts as an answer."""
        step = "send request"
        timeout_ms = request.deadline_ms + REQUEST_MARGIN_MS
        answered = self._exchange(
            step, "POST", "/v1/requests", request, repeatable=True, timeout_ms=timeout_ms
        )
        if isinstance(answered, Err):
            return answered
        response = answered.ok_value
        try:
            return Ok(msgspec.json.decode(response.content, type=Answer))
        except msgspec.DecodeError:
            return Err(_failure(response, step))

    def _exchange(
        self,
        step: str,
        method: str,
        path: str,
        body: object,
        *,
        repeatable: bool,
        timeout_ms: int,
    ) -> Result[httpx.Response, CallFailure]:
        if not self._addresses:
            return Err(CallFailure(ExitCode.UNREACHABLE, "no entry host is given", step))
        weightiest: Result[httpx.Response, CallFailure] | None = None
        for address in self._addresses:
            answered = self._exchange_with(address, step, method, path, body, timeout_ms)
            if isinstance(answered, Ok) and answered.ok_value.status_code != UNAVAILABLE:
                return answered
            if _is_lost(answered) and not repeatable:
                return answered
            if weightiest is None or _weight(answered) > _weight(weightiest):
                weightiest = answered
        assert weightiest is not None, "at least one entry host was tried"
        return weightiest.map_err(self._name_all_tried)

    def _name_all_tried(self, failure: CallFailure) -> CallFailure:
        if failure.exit_code is not ExitCode.UNREACHABLE:
            return failure
        return msgspec.structs.replace(failure, peer=", ".join(self._addresses))

    def _exchange_with(
        self, address: str, step: str, method: str, path: str, body: object, timeout_ms: int
    ) -> Result[httpx.Response, CallFailure]:
        timeout = httpx.Timeout(to_seconds(timeout_ms), connect=to_seconds(CONNECT_TIMEOUT_MS))
        content = None if body is None else msgspec.json.encode(body)
        url = address.rstrip("/") + path
        headers = {"Content-Type": "application/json"}
        try:
            return Ok(
                self._http.request(method, url, content=content, headers=headers, timeout=timeout)
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return Err(CallFailure(ExitCode.UNREACHABLE, str(error), step, address))
        except (httpx.InvalidURL, httpx.UnsupportedProtocol) as error:
            return Err(CallFailure(ExitCode.INVALID, str(error), step, address))
        except httpx.TransportError as error:
            reason = str(error) or type(error).__name__
            return Err(CallFailure(ExitCode.UNKNOWN, f"no answer: {reason}", step, address))


def _is_lost(answered: Result[httpx.Response, CallFailure]) -> bool:
    return isinstance(answered, Err) and answered.err_value.exit_code is ExitCode.UNKNOWN


def _weight(answered: Result[httpx.Response, CallFailure]) -> int:
    # A lost answer outweighs any refusal elsewhere: the call may have taken effect.
    if _is_lost(answered):
        return 2
    return 1 if isinstance(answered, Ok) else 0


def _decode(response: httpx.Response, type_: Any, step: str) -> Result[Any, CallFailure]:
    if type_ is None:
        return Ok(None)
    try:
        return Ok(msgspec.json.decode(response.content, type=type_))
    except msgspec.DecodeError as error:
        message = f"unexpected answer: {error}"
        return Err(CallFailure(ExitCode.FAILED, message, step, str(response.url)))


def _failure(response: httpx.Response, step: str) -> CallFailure:
    default = ExitCode.INVALID if response.status_code < 500 else ExitCode.FAILED
    exit_code = _EXIT_CODE_OF_STATUS.get(response.status_code, default)
    try:
        body = msgspec.json.decode(response.content, type=ErrorBody)
    except msgspec.DecodeError:
        return CallFailure(exit_code, f"status {response.status_code}", step, str(response.url))
    return CallFailure(exit_code, body.error, body.step, body.peer)
