"""The platform's cloud and waves, from their messages to the project's types and back."""

from __future__ import annotations

import json

from typing import Any

import pytest

from result import Err
from result import Ok
from twisted.internet.defer import Deferred

from jujubehall.core.upkeep.wave import MachineState
from jujubehall.errors import FailureKind
from jujubehall.http.client import Response
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import FencingToken
from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WaveNumber
from jujubehall.platform.adapter.cloud import CloudClient
from jujubehall.platform.adapter.waves import StoreWaves
from jujubehall.platform.adapter.waves import _to_waves
from jujubehall.platform.site_machines import UpkeepRefusal
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


class Scripted:
    """Answers calls in turn, and notes them."""

    def __init__(self, *responses: Response) -> None:
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


def answer(status: int, body: Any = None) -> Response:
    return Response(status, json.dumps(body).encode())


def client(*responses: Response) -> tuple[CloudClient, Scripted]:
    made = CloudClient(None, "10.0.0.9:80")  # type: ignore[arg-type]
    scripted = Scripted(*responses)
    made._http = scripted  # type: ignore[assignment]
    return made, scripted


def result_of(coroutine: Any) -> Any:
    results: list[Any] = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    (only,) = results
    return only


def begin(response: Response) -> tuple[Any, Scripted]:
    cloud, scripted = client(response)
    order = cloud.begin_upkeep(
        MachineName("m-1"), WaveNumber(3), EntryHostName("entry-1"), FencingToken(12)
    )
    return result_of(order), scripted


def test_machines_are_listed_page_after_page() -> None:
    cloud, scripted = client(
        answer(200, {"machines": [MACHINE], "nextToken": "p 2"}),
        answer(200, {"machines": [MACHINE | {"state": "asleep", "id": None}], "nextToken": None}),
    )
    first, second = result_of(cloud.list_machines()).ok_value
    assert (first.name, first.state, first.worker) == ("m-0a3f1", MachineState.UP, "i-7f3a91c2")
    assert (second.state, second.worker) == (MachineState.DOWN, None)
    assert [call[1] for call in scripted.calls] == [
        "http://10.0.0.9:80/machines",
        "http://10.0.0.9:80/machines?pageToken=p+2",
    ]


def test_an_order_names_its_holder_and_its_token() -> None:
    outcome, scripted = begin(answer(200))
    assert outcome == Ok(None)
    ((method, url, body, headers),) = scripted.calls
    assert (method, url) == ("POST", "http://10.0.0.9:80/machine-upkeep")
    assert (body.machine, body.wave) == ("m-1", 3)
    assert headers == {"Duty-Holder": "entry-1", "Fencing-Token": "12"}


@pytest.mark.parametrize(
    ("response", "refusal"),
    [
        (answer(409, {"reason": "fence"}), UpkeepRefusal.FENCED),
        (answer(409, {"reason": "busy"}), UpkeepRefusal.BUSY),
        (answer(409, {"reason": "wave"}), UpkeepRefusal.NOT_IN_WAVE),
        (answer(400), UpkeepRefusal.NO_SUCH_MACHINE),
    ],
)
def test_a_refused_order(response: Response, refusal: UpkeepRefusal) -> None:
    assert begin(response)[0] == Err(refusal)


@pytest.mark.parametrize(
    ("response", "kind"),
    [
        (answer(429), FailureKind.UNAVAILABLE),
        (answer(500), FailureKind.NO_ANSWER),
        (answer(409, {"reason": "unheard of"}), FailureKind.NO_ANSWER),
        (Response(409, b"\xff"), FailureKind.NO_ANSWER),
    ],
)
def test_an_order_that_failed(response: Response, kind: FailureKind) -> None:
    assert begin(response)[0].err_value.kind is kind


def test_waves_that_can_not_be_read_are_left_out() -> None:
    written = b'{"wave":1,"machines":["m-1","m-2"],"durationS":20,"maximum":1}'
    items = [
        StoredItem("op/wave/1", written, Revision(4)),
        StoredItem("op/wave/2", b'{"wave":"x"}', Revision(5)),
        StoredItem("op/wave/3", written, Revision(6), is_deleted=True),
    ]
    (wave,) = _to_waves(StoredItems(items, Revision(6))).waves
    assert (wave.number, wave.machines) == (1, ("m-1", "m-2"))
    assert (wave.duration_ms, wave.most_down) == (20_000, 1)


def test_the_status_of_a_wave() -> None:
    waves = StoreWaves(None)  # type: ignore[arg-type]
    assert waves.status_write(WaveNumber(1), False) == ("status/wave/1", b'{"state":"running"}', 0)
    assert waves.status_write(WaveNumber(1), True).value == b'{"state":"succeeded"}'
