"""Every bad input gets a clear error and harms nobody else."""

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
def test_bad_input_gets_a_clear_error(site: LocalSite, bad: BadInput) -> None:
    address = site.address("entry-0")
    with RawConnection(address) as connection, RawConnection(address) as other:
        if bad.drips:
            connection.drip_until_answered(bad.content)
        else:
            connection.send(bad.content)
        answer = connection.read_answer()
        assert answer.status == bad.status, answer
        assert answer.headers["content-type"] == "application/json"
        assert answer.body["step"] == bad.step
        assert answer.body["peer"]
        assert bad.error in answer.body["error"]
        other.send(b"GET /healthz HTTP/1.1\r\nHost: test\r\n\r\n")
        assert other.read_answer().status == 200


def test_the_page_for_operators_lists_the_same_rows() -> None:
    rows = re.findall(
        r"^\| (.+?) \| (\d{3}) \| (.+?) \|", OPERATIONS_PAGE.read_text(), re.MULTILINE
    )
    documented = {name: (int(status), step) for name, status, step in rows}
    for bad in BAD_INPUTS:
        assert documented.get(bad.name) == (bad.status, bad.step), bad.name


def test_a_wrong_method_is_told_the_right_ones(site: LocalSite) -> None:
    refused = CLIENT.put(f"{site.address('entry-0')}/v1/jobs")
    assert refused.headers["Allow"] == "GET, POST"
