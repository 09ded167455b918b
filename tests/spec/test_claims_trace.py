"""Tests that traces of the claim code are allowed by its model."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.scopes import request_scope
from jujubehall.core.requests.claim_records import HEADS_PREFIX
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import RequestId
from jujubehall.identifiers import TeamName
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.endpoints import VirtualEndpoints
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources
from spec.checker import find_disallowed_action
from spec.claims import HOSTS
from spec.claims import ClaimsVariant
from spec.claims import make_claims_model

if TYPE_CHECKING:
    from collections.abc import Callable

REQUEST = Request(RequestId("hold-1"), TeamName("studio"), "slot-hold", deadline_ms=2_000)
UNOBSERVED_ACTIONS = (
    "learn epoch",
    "confirm epoch",
    "confirm fenced",
    "inherit claims",
    "begin claim",
    "abandon claim",
)
MAX_UNOBSERVED_ACTIONS = 6
SITE = SiteFile(
    zones=("zone-a",),
    entry_hosts=2,
    endpoints=2,
    workers=1,
    workers_per_rack=1,
    worker_capacity=Resources(8, 60, 250),
    first_port=20_000,
)


class ActionRecorder:
    """Records the writes and runs of a virtual site as actions of the model, in order."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
        self.site = VirtualSite(SITE, seed)
        self.actions: list[str] = []
        self._host_numbers: dict[str, int] = {}
        self._heads_by_host: dict[str, dict[str, Any]] = {}
        put = self.site.store.put

        def recorded_put(key: str, value: Any, *rest: Any) -> Any:
            written = put(key, value, *rest)
            if written.is_ok():
                self._observe(key, value)
            return written

        run = VirtualEndpoints.run

        async def recorded_run(endpoints: Any, name: str, *rest: Any) -> Any:
            if not self.site.endpoints[name].is_down:
                self.actions.append(f"dispatch {self._host_numbers[endpoints._host]}")
            return await run(endpoints, name, *rest)

        monkeypatch.setattr(self.site.store, "put", recorded_put)
        monkeypatch.setattr(VirtualEndpoints, "run", recorded_run)

    def kill_and_restart(self, name: str) -> None:
        number = int(name.rsplit("-", 1)[1])
        self.site.hosts[name].reactor.kill()  # type: ignore[index]
        self.actions.append(f"restart {self._host_numbers[name]}")
        self.site.run_for(100)
        self.site.start_host(number)

    def owner(self) -> str:
        record = next(iter(self.site.hosts.values())).entry_host.membership.record
        owner = record.owner_of(request_scope(REQUEST.id))
        assert owner is not None
        return owner.name

    def send(self, name: str) -> None:
        host = self.site.hosts[name]  # type: ignore[index]
        host.reactor.callLater(
            0, lambda: run_in_background(host.entry_host.requests.serve(REQUEST))
        )

    def _observe(self, key: str, value: Any) -> None:
        if key == OWNERSHIP_KEY:
            owner = value["owners"][request_scope(REQUEST.id)]
            if not self._host_numbers:
                other = next(name for name in ("entry-0", "entry-1") if name != owner)
                self._host_numbers = {owner: 0, other: 1}
            if value["epoch"] > 1:
                self.actions.append(f"epoch {value['epoch']} owner {self._host_numbers[owner]}")
        elif key.startswith(HEADS_PREFIX):
            self._observe_head(value)

    def _observe_head(self, value: dict[str, Any]) -> None:
        number = self._host_numbers[value["name"]]
        previous_head = self._heads_by_host.get(
            value["name"], {"epoch": 0, "incarnation": "", "claims": []}
        )
        self._heads_by_host[value["name"]] = value
        if value["sealed"]:
            if previous_head.get("sealed"):
                return
            self.actions.append(f"seal {number} by {1 - number}")
        elif (previous_head["epoch"], previous_head["incarnation"]) != (
            value["epoch"],
            value["incarnation"],
        ):
            self.actions.append(f"write head {number}")
        elif len(value["claims"]) > len(previous_head["claims"]):
            self.actions.append(f"write claim {number}")


def find_mismatch(actions: list[str]) -> str | None:
    """Describes the first action that the model doesn't allow, or returns None."""
    epochs = sum(action.startswith("epoch") for action in actions) + 1
    model = make_claims_model(ClaimsVariant.CORRECT, epochs)
    unobserved = {f"{name} {host}" for name in UNOBSERVED_ACTIONS for host in HOSTS}
    mismatch_index = find_disallowed_action(model, actions, unobserved, MAX_UNOBSERVED_ACTIONS)
    return (
        None
        if mismatch_index is None
        else f"action {mismatch_index}, {actions[mismatch_index]}, of {actions}"
    )


def inject_nothing(recorder: ActionRecorder) -> None:
    recorder.send("entry-0")


def kill_owner(recorder: ActionRecorder) -> None:
    recorder.send(recorder.owner())
    recorder.site.run_for(3)
    recorder.kill_and_restart(recorder.owner())


def suspend_owner(recorder: ActionRecorder) -> None:
    owner = recorder.site.hosts[recorder.owner()]  # type: ignore[index]
    recorder.send(owner.name)
    recorder.site.run_for(2)
    owner.reactor.suspend()
    recorder.site.run_for(8_000)
    owner.reactor.resume()


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("inject_failure", [inject_nothing, kill_owner, suspend_owner])
def test_model_allows_trace_of_the_code(
    monkeypatch: pytest.MonkeyPatch, inject_failure: Callable[[ActionRecorder], None], seed: int
) -> None:
    recorder = ActionRecorder(monkeypatch, seed)
    site = recorder.site
    site.run_until(lambda: all(each.entry_host.is_ready for each in site.hosts.values()))
    site.run_for(3_000)
    inject_failure(recorder)
    site.run_for(10_000)
    for name in list(site.hosts):
        recorder.send(name)
        site.run_for(3_000)
    assert any(action.startswith("write claim") for action in recorder.actions)
    assert find_mismatch(recorder.actions) is None


def test_model_rejects_trace_that_breaks_the_protocol() -> None:
    actions = ["write head 0", "write claim 0", "dispatch 0", "epoch 2 owner 1", "write head 1"]
    assert find_mismatch(actions) is None
    assert find_mismatch([*actions, "write claim 1"]) is not None
