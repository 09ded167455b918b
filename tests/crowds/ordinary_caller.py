"""A caller that behaves, beside the crowds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx

from tests.platform.adapter.entry_host_process import JOB

if TYPE_CHECKING:
    from tests.platform.adapter.entry_host_process import EntryHostProcess

JOB_PATH = "/hold/00000000000000c1"


def is_accepted(host: EntryHostProcess) -> bool:
    """Submits a job as an ordinary caller, which tries again after a refusal or a lost call."""
    try:
        response = host.call("POST", JOB_PATH, json=JOB)
    except httpx.TransportError:
        return False
    if response.status_code == 200:
        return True
    assert response.status_code in (429, 503)
    assert int(response.headers["Retry-After"]) >= 1
    return False
