"""An operator asks any entry host where a job would be placed; nothing is submitted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from twisted.internet.defer import Deferred
from twisted.web.server import Request
from twisted.web.test.requesthelper import DummyChannel

from jujubehall.core.fleet.placement_preview import JobPreview
from jujubehall.core.fleet.placement_preview import Verdict
from jujubehall.platform.adapter.placement_api import PlacementResource
from jujubehall.testing.virtual.fleet.store import StoreFaultMode

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

BODY = b'{"spec":"x","steps":[{"count":2,"cpu":1000,"memMb":100,"gpu":1,"estRuntimeMs":500}]}'
JOB = "00000000000000c1"


def locate(site: VirtualFleet, host: int, key: bytes = b"key", body: bytes = BODY) -> Any:
    """Sends a request as the command does and returns its status and its decoded body."""
    make_request: Any = Request
    make_channel: Any = DummyChannel
    request = make_request(make_channel(), False)
    request.gotLength(len(body))
    request.handleContentChunk(body)
    request.content.seek(0)
    request.requestHeaders.setRawHeaders(b"host", [b"site.example"])
    request.requestHeaders.setRawHeaders(b"authorization", [b"Token " + key])
    written: list[bytes] = []
    request.write = written.append
    request.finish = lambda: None
    request.notifyFinish = Deferred
    request.end_handling = lambda: None
    request.method, request.path = b"POST", f"/locate/normal/{JOB}".encode()
    PlacementResource(site.hosts[host].site_host.admission).render_POST(request)
    assert site.run_until(lambda: bool(written), 5.0)
    return request.code, msgspec.json.decode(written[0])


@pytest.mark.parametrize("host", range(3))
def test_any_entry_host_says_where_a_job_would_be_placed(site: VirtualFleet, host: int) -> None:
    status, body = locate(site, host)
    assert status == 200
    preview = msgspec.convert(body, JobPreview)
    assert preview.steps[0].verdict is Verdict.STARTS
    assert sum(preview.steps[0].tasks_by_worker.values()) == 2
    site.run(1.0)
    assert not site.run_recorder.start_counts


def test_answer_is_the_refusal_that_the_caller_would_get(site: VirtualFleet) -> None:
    assert locate(site, 0, key=b"wrong")[0] == 401
    assert locate(site, 0, body=b"{}")[0] == 400


def test_preview_needs_the_owner_and_not_the_store(site: VirtualFleet) -> None:
    site.set_store_fault_mode(StoreFaultMode.UNAVAILABLE)
    number = next(n for n, host in enumerate(site.hosts) if host is site.owner)
    assert locate(site, number)[0] == 200
    site.kill(site.hosts[number])
    other = (number + 1) % 3
    status, body = locate(site, other)
    assert status == 503
    assert "owner" in body["error"]
