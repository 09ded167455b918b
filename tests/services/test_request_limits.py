"""All entry hosts together respect the slot limits of endpoints, also while members change."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import add_exception
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import EndpointName
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import RequestId
from jujubehall.identifiers import TeamName
from jujubehall.platform.host import HostState
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.slot_allotments import SlotAllotments
from jujubehall.testing.endpoint_stand_in import EndpointBehaviour
from tests.services.request_fuzzer import ready_site

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.core.requests.request import Answer
    from jujubehall.errors import Failure
    from jujubehall.testing.virtual.site import VirtualSite

STUDIO = TeamName("studio")
LABEL = TeamName("label")


class LoadGenerator:
    """Sends requests at a steady rate through random live entry hosts."""

    def __init__(self, site: VirtualSite) -> None:
        self.site = site
        self.answers: list[Answer] = []
        self.response_times_ms: list[int] = []
        self.sent = 0

    def send(self, team: TeamName = STUDIO, *, idempotent: bool = True) -> None:
        live_hosts = [each for each in self.site.hosts.values() if not each.reactor.is_killed]
        host = self.site.random.choice(live_hosts).entry_host
        request = Request(RequestId(f"r-{self.sent}"), team, "who-is-free", idempotent=idempotent)
        self.sent += 1
        began_at_ms = self.site.clock.now_ms

        def record(answer: Answer) -> None:
            self.answers.append(answer)
            self.response_times_ms.append(self.site.clock.now_ms - began_at_ms)

        run_in_background(host.requests.serve(request)).addCallback(record)

    def run(self, duration_ms: int, requests_per_10_ms: int = 2) -> None:
        for _ in range(duration_ms // 10):
            for _ in range(requests_per_10_ms):
                self.send()
            self.site.run_for(10)


def set_run_time(site: VirtualSite, run_ms: int) -> None:
    for endpoint in site.endpoints.values():
        endpoint.behaviour = EndpointBehaviour(run_ms=run_ms)


def busy_refusals(site: VirtualSite) -> int:
    return sum(endpoint.busy_refusal_count for endpoint in site.endpoints.values())


def run_load_with_member_changes(site: VirtualSite) -> None:
    load = LoadGenerator(site)
    set_run_time(site, 1_500)
    load.run(2_000)
    site.hosts[EntryHostName("entry-1")].reactor.kill()
    load.run(6_000)
    site.start_host(1)
    load.run(4_000)
    site.start_host(4)
    load.run(6_000)
    assert max(endpoint.peak_running for endpoint in site.endpoints.values()) == 8


def test_slot_limits_hold_while_members_leave_and_join() -> None:
    site = ready_site(3)
    run_load_with_member_changes(site)
    assert busy_refusals(site) == 0


def test_slot_limits_are_exceeded_if_allotments_grow_immediately(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def settle(self: SlotAllotments) -> None:
        self._settled_members = self._members
        self._settled_epoch = self._membership.record.epoch

    monkeypatch.setattr(SlotAllotments, "_settle", settle)
    monkeypatch.setattr(SlotAllotments, "_departed_requests_have_ended", lambda self, members: True)
    site = ready_site(3)
    run_load_with_member_changes(site)
    assert busy_refusals(site) > 0


def test_overload_is_shed_early_and_goodput_is_maintained() -> None:
    site = ready_site(3)
    set_run_time(site, 100)
    load = LoadGenerator(site)
    # Three endpoints with eight slots and 100 ms per request serve about 230 requests per second;
    # 800 per second are sent.
    load.run(5_000, requests_per_10_ms=8)
    site.run_for(2_000)
    completed = sum(answer.outcome is Outcome.COMPLETED for answer in load.answers)
    assert len(load.answers) == load.sent
    assert completed >= 0.8 * 5 * 230
    refused = [answer for answer in load.answers if answer.outcome is Outcome.NOT_RUN]
    assert all(answer.retry_after_ms >= 1_000 for answer in refused)
    assert max(load.response_times_ms) < 1_500
    assert busy_refusals(site) == 0


def test_low_rate_team_is_served_while_another_team_floods() -> None:
    site = ready_site(3)
    set_run_time(site, 100)
    load = LoadGenerator(site)
    quiet_load = LoadGenerator(site)
    quiet_load.sent = 1_000_000
    for _ in range(200):
        for _ in range(8):
            load.send()
        if site.random.random() < 0.3:
            quiet_load.send(LABEL)
        site.run_for(10)
    site.run_for(2_000)
    completed = sum(answer.outcome is Outcome.COMPLETED for answer in quiet_load.answers)
    assert completed >= 0.9 * len(quiet_load.answers)


@pytest.mark.parametrize("learned_from", ["list", "response"])
def test_leaving_endpoint_gets_no_new_requests(learned_from: str) -> None:
    site = ready_site(3)
    load = LoadGenerator(site)
    leaving = site.endpoints["endpoint-0"]
    if learned_from == "list":
        site.listed_hosts = [
            (
                msgspec.structs.replace(host, state=HostState.LEAVING)
                if host.name == leaving.name
                else host
            )
            for host in site.listed_hosts
        ]
    else:
        # The platform, which provides the host list, is down: only the endpoint's own response
        # shows that it is leaving.
        site.network.is_platform_down = True
        leaving.behaviour = EndpointBehaviour(leaving=True)
    load.run(3_000)
    before = dict(leaving.runs)
    leaving.behaviour = EndpointBehaviour()
    load.run(3_000)
    assert leaving.runs == before
    assert load.answers
    assert all(answer.outcome is Outcome.COMPLETED for answer in load.answers)


def test_planned_stop_completes_requests_in_progress() -> None:
    site = ready_site(3)
    set_run_time(site, 200)
    load = LoadGenerator(site)
    for _ in range(16):
        load.send(idempotent=False)
    site.run_for(20)
    stopping = site.hosts[EntryHostName("entry-2")].entry_host
    assert stopping.requests.in_progress > 0
    assert site.run_coroutine(stopping.stop(30_000)) is True
    assert stopping.requests.in_progress == 0
    site.run_for(3_000)
    assert len(load.answers) == 16
    assert all(answer.outcome is Outcome.COMPLETED for answer in load.answers)


def test_configuration_exception_limits_the_slots_of_one_endpoint() -> None:
    site = ready_site(3)
    host = next(iter(site.hosts.values())).entry_host
    author = ChangeAuthor("amaka", "a small machine", "token", 0)

    def except_endpoint(current: Configuration) -> Result[Configuration, Failure]:
        return add_exception(
            current, author, "endpoint/endpoint-0", "endpoint_slots", 3, author.reason
        )

    changed = site.run_coroutine(host.configuration.change(0, except_endpoint))
    assert changed.is_ok(), changed
    site.run_for(5_000)
    hosts = [each.entry_host.request_services.allotments for each in site.hosts.values()]
    slots_by_endpoint = {
        name: sum(each.allotment(EndpointName(name)) for each in hosts) for name in site.endpoints
    }
    assert slots_by_endpoint == {"endpoint-0": 3, "endpoint-1": 8, "endpoint-2": 8}
