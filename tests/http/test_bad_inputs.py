"""Every invalid input gets a specific error response and doesn't affect other connections."""

from __future__ import annotations

import re

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from tests.end_to_end.calls import CLIENT
from tests.http.bad_inputs import BAD_INPUTS
from tests.http.bad_inputs import BadInput
from tests.http.raw_connection import RawConnection

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite

OPERATIONS_PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


@pytest.mark.parametrize("bad", BAD_INPUTS, ids=lambda bad: bad.name)
def test_invalid_input_returns_specific_error(site: LocalSite, bad: BadInput) -> None:
    address = site.base_url("entry-0")
    with RawConnection(address) as connection, RawConnection(address) as other:
        if bad.byte_by_byte:
            connection.send_byte_by_byte_until_response(bad.content)
        else:
            connection.send(bad.content)
        response = connection.read_response()
        assert response.status == bad.status, response
        assert response.headers["content-type"] == "application/json"
        assert response.body["step"] == bad.step
        assert response.body["peer"]
        assert bad.error in response.body["error"]
        other.send(b"GET /healthz HTTP/1.1\r\nHost: test\r\n\r\n")
        assert other.read_response().status == 200


def test_operations_page_lists_every_invalid_input() -> None:
    rows = re.findall(
        r"^\| (.+?) \| (\d{3}) \| (.+?) \|", OPERATIONS_PAGE.read_text(), re.MULTILINE
    )
    documented = {name: (int(status), step) for name, status, step in rows}
    for bad in BAD_INPUTS:
        assert documented.get(bad.name) == (bad.status, bad.step), bad.name


def test_wrong_method_returns_allowed_methods(site: LocalSite) -> None:
    refused = CLIENT.put(f"{site.base_url('entry-0')}/v1/jobs")
    assert refused.headers["Allow"] == "GET, POST"
