"""Translation between the platform's cloud and wave messages and the project's types."""

from __future__ import annotations

import json

from typing import Any

import pytest

from result import Err
from result import Ok
from twisted.internet.defer import Deferred

from jujubehall.core.maintenance.wave import MachineState
from jujubehall.errors import FailureKind
from jujubehall.http.client import ClientResponse
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import FencingToken
from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WaveNumber
from jujubehall.platform.adapter.cloud import CloudClient
from jujubehall.platform.adapter.waves import StoreWaves
from jujubehall.platform.adapter.waves import _to_waves
from jujubehall.platform.site_machines import MaintenanceRefusal
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import StoredItems

MACHINE = {
    "machine": "m-0a3f1",
    "pool": "desk",
    "state": "up",
    "zone": "lagos-mainland",
    "labels": ["a", "r1-2"],
    "capacity": {"cpu": 16_000},
    "id": "i-7f3a91c2",
}


class ScriptedHttpClient:
    """Returns prepared responses in order and records the calls."""

    def __init__(self, *responses: ClientResponse) -> None:
        self._responses = list(responses)
        self.calls: list[tuple[str, str, Any, Any]] = []

    async def call(
        self,
        step: str,
        method: str,
        url: str,
        body: object | None = None,
        *,
        timeout_ms: int,
        peer: str | None = None,
        extra_headers: dict[str, str] | None = None,
    ) -> Any:
        """Implements ``HttpClient.call``."""
        self.calls.append((method, url, body, extra_headers))
        return Ok(self._responses.pop(0))


def json_response(status: int, body: Any = None) -> ClientResponse:
    return ClientResponse(status, json.dumps(body).encode())


def make_client(*responses: ClientResponse) -> tuple[CloudClient, ScriptedHttpClient]:
    client = CloudClient(None, "10.0.0.9:80")  # type: ignore[arg-type]
    http = ScriptedHttpClient(*responses)
    client._http = http  # type: ignore[assignment]
    return client, http


def result_of(coroutine: Any) -> Any:
    results: list[Any] = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    (result,) = results
    return result


def call_begin_maintenance(response: ClientResponse) -> tuple[Any, ScriptedHttpClient]:
    cloud, http = make_client(response)
    coroutine = cloud.begin_maintenance(
        MachineName("m-1"), WaveNumber(3), EntryHostName("entry-1"), FencingToken(12)
    )
    return result_of(coroutine), http


def test_list_machines_follows_pagination() -> None:
    cloud, http = make_client(
        json_response(200, {"machines": [MACHINE], "nextToken": "p 2"}),
        json_response(
            200, {"machines": [MACHINE | {"state": "asleep", "id": None}], "nextToken": None}
        ),
    )
    first, second = result_of(cloud.list_machines()).ok_value
    assert (first.name, first.state, first.worker) == ("m-0a3f1", MachineState.UP, "i-7f3a91c2")
    assert (second.state, second.worker) == (MachineState.DOWN, None)
    assert [call[1] for call in http.calls] == [
        "http://10.0.0.9:80/machines",
        "http://10.0.0.9:80/machines?pageToken=p+2",
    ]


def test_begin_maintenance_sends_holder_and_fencing_token() -> None:
    result, http = call_begin_maintenance(json_response(200))
    assert result == Ok(None)
    ((method, url, body, headers),) = http.calls
    assert (method, url) == ("POST", "http://10.0.0.9:80/machine-upkeep")
    assert (body.machine, body.wave) == ("m-1", 3)
    assert headers == {"Duty-Holder": "entry-1", "Fencing-Token": "12"}


@pytest.mark.parametrize(
    ("response", "refusal"),
    [
        (json_response(409, {"reason": "fence"}), MaintenanceRefusal.FENCED),
        (json_response(409, {"reason": "busy"}), MaintenanceRefusal.BUSY),
        (json_response(409, {"reason": "wave"}), MaintenanceRefusal.NOT_IN_WAVE),
        (json_response(400), MaintenanceRefusal.NO_SUCH_MACHINE),
    ],
)
def test_begin_maintenance_maps_refusals(
    response: ClientResponse, refusal: MaintenanceRefusal
) -> None:
    assert call_begin_maintenance(response)[0] == Err(refusal)


@pytest.mark.parametrize(
    ("response", "kind"),
    [
        (json_response(429), FailureKind.UNAVAILABLE),
        (json_response(500), FailureKind.NO_ANSWER),
        (json_response(409, {"reason": "unknown reason"}), FailureKind.NO_ANSWER),
        (ClientResponse(409, b"\xff"), FailureKind.NO_ANSWER),
    ],
)
def test_begin_maintenance_maps_other_errors_to_failures(
    response: ClientResponse, kind: FailureKind
) -> None:
    assert call_begin_maintenance(response)[0].err_value.kind is kind


def test_undecodable_and_deleted_waves_are_left_out() -> None:
    content = b'{"wave":1,"machines":["m-1","m-2"],"durationS":20,"maximum":1}'
    items = [
        StoredItem("op/wave/1", content, Revision(4)),
        StoredItem("op/wave/2", b'{"wave":"x"}', Revision(5)),
        StoredItem("op/wave/3", content, Revision(6), is_deleted=True),
    ]
    (wave,) = _to_waves(StoredItems(items, Revision(6))).waves
    assert (wave.number, wave.machines) == (1, ("m-1", "m-2"))
    assert (wave.duration_ms, wave.max_machines_down) == (20_000, 1)


def test_wave_status_write() -> None:
    waves = StoreWaves(None)  # type: ignore[arg-type]
    assert waves.build_status_write(WaveNumber(1), False) == (
        "status/wave/1",
        b'{"state":"running"}',
        0,
    )
    assert waves.build_status_write(WaveNumber(1), True).value == b'{"state":"succeeded"}'
