"""Tests for the tickets of an advice service."""

from __future__ import annotations

import msgspec

from jujubehall.core.fleet.placement import eligible_workers
from jujubehall.core.fleet.tickets import StepTickets
from jujubehall.identifiers import WorkerName
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

WORKER_1 = WorkerName("w1")
WORKER_2 = WorkerName("w2")
WORKER_INCARNATIONS = {WORKER_1: 1, WORKER_2: 1}


def tickets_after_response(ends_ms: int = 5_000) -> StepTickets:
    tickets = StepTickets()
    tickets.record_query(0)
    tickets.record_response(WORKER_INCARNATIONS, {WORKER_1: "t1"}, ends_ms)
    return tickets


def test_each_worker_is_queried_once() -> None:
    tickets = StepTickets()
    assert tickets.workers_to_query(WORKER_INCARNATIONS, 0) == [WORKER_1, WORKER_2]
    tickets.record_query(0)
    assert tickets.workers_to_query(WORKER_INCARNATIONS, 10) == []
    assert tickets_after_response().workers_to_query(WORKER_INCARNATIONS, 10) == []


def test_denied_worker_is_not_queried_again() -> None:
    assert tickets_after_response().workers_to_query(WORKER_INCARNATIONS, 100_000) == [WORKER_1]


def test_ticket_is_renewed_before_expiry_and_not_used_close_to_expiry() -> None:
    tickets = tickets_after_response()
    assert tickets.find(WORKER_1, 1, 1_000) == "t1"
    assert tickets.workers_to_query(WORKER_INCARNATIONS, 4_000) == [WORKER_1]
    assert tickets.find(WORKER_1, 1, 4_900) is None


def test_ticket_is_valid_for_one_incarnation_of_a_worker() -> None:
    tickets = tickets_after_response()
    assert tickets.find(WORKER_1, 2, 1_000) is None
    assert tickets.workers_to_query({WORKER_1: 2}, 1_000) == [WORKER_1]


def test_query_without_a_response_is_repeated() -> None:
    tickets = StepTickets()
    tickets.record_query(0)
    assert tickets.workers_to_query(WORKER_INCARNATIONS, 2_000) == [WORKER_1, WORKER_2]


def test_refused_ticket_is_queried_again() -> None:
    tickets = tickets_after_response()
    tickets.remove(WORKER_1)
    assert tickets.find(WORKER_1, 1, 10) is None
    assert tickets.workers_to_query(WORKER_INCARNATIONS, 10) == [WORKER_1]


def test_ticket_for_a_restarted_worker_is_used_before_and_after_its_restart_is_listed() -> None:
    site = SmallSite(workers=1)
    site.report(0, incarnation=2)
    job = site.submit("job", step())
    assert job.queue is not None
    job.queue = msgspec.structs.replace(job.queue, asks_for_advice=True)
    worker = site.worker(0)
    tickets = job.tickets(0, 0)
    tickets.record_response({worker.name: 2}, {worker.name: "t"}, site.now_ms + 60_000)
    (group,) = job.all_groups()
    assert eligible_workers(group, [worker], site.now_ms) == [worker]
    worker.update_listing(msgspec.structs.replace(worker.listed, incarnation=2))
    assert eligible_workers(group, [worker], site.now_ms) == [worker]
