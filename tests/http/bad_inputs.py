"""Invalid HTTP inputs with the expected errors; docs/OPERATIONS.md lists the same rows."""

from __future__ import annotations

import json

from typing import Any
from typing import NamedTuple


class BadInput(NamedTuple):
    """Raw request bytes with the status, step and part of the error message that they must give."""

    name: str
    content: bytes
    status: int
    step: str
    error: str
    byte_by_byte: bool = False


def http(method: str, path: str, body: bytes = b"", headers: str = "") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


def post(path: str, document: Any) -> bytes:
    return http("POST", path, json.dumps(document).encode())


REQUEST = {"id": "bad-1", "team": "studio", "kind": "slot-hold"}
JOB = {"team": "studio", "kind": "render", "parts": 1, "accelerators_per_part": 1}
CHANGE = {"expected_number": 0, "author": "amaka", "reason": "a test", "token": "token-1"}
CHUNKED = "POST /v1/requests HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n"
SLOW_HEAD = b"GET /healthz HTTP/1.1\r\nX-Slow: " + b"a" * 1_000
SLOW_BODY = (
    b"POST /v1/requests HTTP/1.1\r\nHost: test\r\nContent-Length: 2000\r\n\r\n" + b" " * 1_000
)

BAD_INPUTS = [
    BadInput("malformed JSON", http("POST", "/v1/requests", b"{"), 400, "decode body", "truncated"),
    BadInput("empty body", http("POST", "/v1/requests"), 400, "decode body", "truncated"),
    BadInput(
        "not UTF-8", http("POST", "/v1/requests", b'{"id": "\xff"}'), 400, "decode body", "UTF-8"
    ),
    BadInput(
        "nested too deeply",
        http("POST", "/v1/requests", b'{"payload":' + b"[" * 3_000),
        400,
        "decode body",
        "nested too deeply",
    ),
    BadInput(
        "wrong type", post("/v1/requests", {**REQUEST, "id": 7}), 400, "decode body", "`$.id`"
    ),
    BadInput("missing key", post("/v1/requests", {"id": "x"}), 400, "decode body", "`team`"),
    BadInput(
        "unknown key", post("/v1/requests", {**REQUEST, "x": 1}), 400, "decode body", "field `x`"
    ),
    BadInput(
        "value out of range",
        post("/v1/requests", {**REQUEST, "deadline_ms": 0}),
        400,
        "decode body",
        "`$.deadline_ms`",
    ),
    BadInput(
        "job out of range",
        post("/v1/jobs", {"spec": {**JOB, "parts": 65}}),
        400,
        "decode body",
        "`$.spec.parts`",
    ),
    BadInput("unknown path", http("GET", "/v2/jobs"), 404, "route", "/v2/jobs does not exist"),
    BadInput("wrong method", http("PATCH", "/v1/jobs"), 405, "route", "PATCH is not allowed"),
    BadInput("unknown job", http("GET", "/v1/jobs/nothing"), 404, "show job", "nothing"),
    BadInput(
        "unknown default",
        post("/v1/configuration/defaults", {**CHANGE, "key": "colour", "value": 1}),
        400,
        "set default",
        "$.defaults.colour",
    ),
    BadInput(
        "default out of range",
        post("/v1/configuration/defaults", {**CHANGE, "key": "fragmentation_weight", "value": 1.5}),
        400,
        "set default",
        "$.defaults.fragmentation_weight",
    ),
    BadInput(
        "change without a reason",
        post(
            "/v1/configuration/exceptions",
            {**CHANGE, "reason": "", "scope": "zone/a", "key": "endpoint_slots", "value": 1},
        ),
        400,
        "decode body",
        "`$.reason`",
    ),
    BadInput(
        "change of a configuration that has moved on",
        post(
            "/v1/configuration/defaults",
            {**CHANGE, "expected_number": 99, "key": "endpoint_slots", "value": 4},
        ),
        409,
        "change configuration",
        "not at 99",
    ),
    BadInput(
        "removal of an exception that is not there",
        http(
            "DELETE",
            "/v1/configuration/exceptions",
            json.dumps({**CHANGE, "scope": "zone/a", "key": "endpoint_slots"}).encode(),
        ),
        404,
        "remove exception",
        "zone/a",
    ),
    BadInput(
        "history of no number of changes",
        http("GET", "/v1/configuration/history?limit=-1"),
        400,
        "read history",
        "limit",
    ),
    BadInput(
        "drain of another entry host",
        http("POST", "/v1/entry-hosts/entry-9/drain"),
        409,
        "drain",
        "this is entry-0",
    ),
    BadInput(
        "declared body over the limit",
        http("POST", "/v1/requests", b"", "").replace(b"Length: 0", b"Length: 5000"),
        413,
        "read body",
        "over 4096 bytes",
    ),
    BadInput(
        "chunked body over the limit",
        CHUNKED.encode() + (b"400\r\n" + b" " * 1_024 + b"\r\n") * 5,
        413,
        "read body",
        "over 4096 bytes",
    ),
    BadInput(
        "headers over the limit",
        http("GET", "/healthz", b"", "".join(f"X-{n}: {'a' * 100}\r\n" for n in range(30))),
        431,
        "read request",
        "over 2048 bytes",
    ),
    BadInput(
        "request line over the limit",
        http("GET", "/" + "a" * 3_000),
        431,
        "read request",
        "over 2048 bytes",
    ),
    BadInput(
        "request line over its own limit",
        http("GET", "/" + "a" * 1_200),
        414,
        "read request",
        "over 1024 bytes",
    ),
    BadInput(
        "too many headers",
        http("GET", "/healthz", b"", "".join(f"X-{n}: a\r\n" for n in range(100))),
        431,
        "read request",
        "more than 100 headers",
    ),
    BadInput(
        "name of a header over the limit",
        http("GET", "/healthz", b"", f"{'X' * 300}: a\r\n"),
        431,
        "read request",
        "over 256 bytes",
    ),
    BadInput(
        "too many fields in the query",
        http("GET", "/healthz?" + "&".join(f"{n}=1" for n in range(65))),
        400,
        "read request",
        "more than 64 fields",
    ),
    BadInput(
        "headers behind a chunked body over the limit",
        CHUNKED.encode() + b"0\r\n" + b"X: a\r\n" * 200,
        400,
        "read request",
        "malformed HTTP",
    ),
    BadInput(
        "no HTTP at all", b"\x16\x03\x01 hello\r\n\r\n", 400, "read request", "malformed HTTP"
    ),
    BadInput(
        "header without a colon",
        http("GET", "/healthz", b"", "nonsense\r\n"),
        400,
        "read request",
        "malformed HTTP",
    ),
    BadInput(
        "body length that is no number",
        http("POST", "/v1/requests").replace(b"Length: 0", b"Length: many"),
        400,
        "read request",
        "malformed HTTP",
    ),
    BadInput(
        "two body lengths",
        http("POST", "/v1/requests", b"", "Transfer-Encoding: chunked\r\n"),
        400,
        "read request",
        "malformed HTTP",
    ),
    BadInput(
        "chunk length that is no number",
        CHUNKED.encode() + b"zz\r\n",
        400,
        "read request",
        "malformed HTTP",
    ),
    BadInput("head sent byte by byte", SLOW_HEAD, 408, "read request", "500 ms", byte_by_byte=True),
    BadInput("body sent byte by byte", SLOW_BODY, 408, "read request", "500 ms", byte_by_byte=True),
]
