"""The whole path, in one process under virtual time."""

from __future__ import annotations

import pytest

from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import RequestId
from jujubehall.identifiers import TeamName
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

SMALL_SITE = SiteFile(
    zones=("zone-a", "zone-b"),
    entry_hosts=3,
    endpoints=3,
    workers=4,
    workers_per_rack=2,
    worker_capacity=Resources(8, 60, 250),
    first_port=20_000,
)
TEAM = TeamName("studio")


@pytest.fixture
def site() -> VirtualSite:
    site = VirtualSite(SMALL_SITE, seed=1)
    site.run_until(lambda: all(each.host.is_ready for each in site.hosts.values()))
    site.run_for(2_000)
    return site


def slot_hold(number: int) -> Request:
    return Request(RequestId(f"hold-{number}"), TEAM, "slot-hold")


def runs(site: VirtualSite, request: Request) -> int:
    return sum(endpoint.runs.get(request.id, 0) for endpoint in site.endpoints.values())


def test_a_request_runs_once_through_any_entry_host(site: VirtualSite) -> None:
    for number, each in enumerate(site.hosts.values()):
        answer = site.finish(each.host.requests.serve(slot_hold(number)))
        assert answer.outcome is Outcome.COMPLETED
        assert runs(site, slot_hold(number)) == 1


def test_a_repeated_request_gets_the_first_answer(site: VirtualSite) -> None:
    answers = [site.finish(each.host.requests.serve(slot_hold(7))) for each in site.hosts.values()]
    assert len({answer.result["endpoint"] for answer in answers}) == 1
    assert runs(site, slot_hold(7)) == 1


@pytest.mark.parametrize("victim", ["entry-0", "entry-1", "entry-2"])
def test_a_request_runs_at_most_once_when_its_owner_is_killed(
    site: VirtualSite, victim: str
) -> None:
    requests = [slot_hold(number) for number in range(30)]
    survivors = [each for name, each in site.hosts.items() if name != victim]
    for request in requests:
        site.finish(survivors[0].host.requests.serve(request))
    next(each for name, each in site.hosts.items() if name == victim).reactor.kill()
    site.run_for(10_000)
    for request in requests:
        answer = site.finish(survivors[1].host.requests.serve(request))
        assert answer.outcome in (Outcome.COMPLETED, Outcome.UNKNOWN)
        assert runs(site, request) == 1


def test_a_gang_runs_to_its_end(site: VirtualSite) -> None:
    spec = JobSpec(TEAM, "mix-render", parts=4, accelerators_per_part=4, command="run:500")
    host = next(iter(site.hosts.values())).host
    record = site.finish(host.jobs.submit(spec)).unwrap()
    site.run_until(lambda: host.jobs.job(record.id).state is JobState.SUCCEEDED)  # type: ignore[union-attr]
    started = {key: n for worker in site.workers.values() for key, n in worker.started.items()}
    assert sorted(started.values()) == [1, 1, 1, 1]
