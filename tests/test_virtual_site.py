"""Tests requests and jobs end to end in one process under virtual time."""

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
    site.run_until(
        lambda: all(virtual_host.entry_host.is_ready for virtual_host in site.hosts.values())
    )
    site.run_for(2_000)
    return site


def make_request(number: int) -> Request:
    return Request(RequestId(f"hold-{number}"), TEAM, "slot-hold")


def run_count(site: VirtualSite, request: Request) -> int:
    return sum(endpoint.runs.get(request.id, 0) for endpoint in site.endpoints.values())


def test_request_through_any_entry_host_runs_once(site: VirtualSite) -> None:
    for number, virtual_host in enumerate(site.hosts.values()):
        answer = site.run_coroutine(virtual_host.entry_host.requests.serve(make_request(number)))
        assert answer.outcome is Outcome.COMPLETED
        assert run_count(site, make_request(number)) == 1


def test_repeated_request_returns_the_first_result_without_running_again(site: VirtualSite) -> None:
    answers = [
        site.run_coroutine(virtual_host.entry_host.requests.serve(make_request(7)))
        for virtual_host in site.hosts.values()
    ]
    assert len({answer.result["endpoint"] for answer in answers}) == 1
    assert run_count(site, make_request(7)) == 1


@pytest.mark.parametrize("killed_host", ["entry-0", "entry-1", "entry-2"])
def test_request_runs_at_most_once_when_its_owner_is_killed(
    site: VirtualSite, killed_host: str
) -> None:
    requests = [make_request(number) for number in range(30)]
    survivors = [virtual_host for name, virtual_host in site.hosts.items() if name != killed_host]
    for request in requests:
        site.run_coroutine(survivors[0].entry_host.requests.serve(request))
    next(
        virtual_host for name, virtual_host in site.hosts.items() if name == killed_host
    ).reactor.kill()
    site.run_for(10_000)
    for request in requests:
        answer = site.run_coroutine(survivors[1].entry_host.requests.serve(request))
        assert answer.outcome in (Outcome.COMPLETED, Outcome.UNKNOWN)
        assert run_count(site, request) == 1


def test_all_parts_of_a_gang_start_once_and_the_job_succeeds(site: VirtualSite) -> None:
    spec = JobSpec(TEAM, "mix-render", parts=4, accelerators_per_part=4, command="run:500")
    host = next(iter(site.hosts.values())).entry_host
    record = site.run_coroutine(host.jobs.submit(spec)).unwrap()
    site.run_until(lambda: host.jobs.cached_job(record.id).state is JobState.SUCCEEDED)  # type: ignore[union-attr]
    started = {key: n for worker in site.workers.values() for key, n in worker.start_counts.items()}
    assert sorted(started.values()) == [1, 1, 1, 1]
