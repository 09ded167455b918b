"""Tickets of an advice service."""

from __future__ import annotations

from jujubehall.core.fleet.tickets import StepTickets
from jujubehall.identifiers import WorkerName

ONE = WorkerName("w1")
TWO = WorkerName("w2")
LIVES = {ONE: 1, TWO: 1}


def answered(ends_ms: int = 5_000) -> StepTickets:
    tickets = StepTickets()
    tickets.note_question(0)
    tickets.note_answer(LIVES, {ONE: "t1"}, ends_ms)
    return tickets


def test_each_worker_is_asked_about_once() -> None:
    tickets = StepTickets()
    assert tickets.questions(LIVES, 0) == [ONE, TWO]
    tickets.note_question(0)
    assert tickets.questions(LIVES, 10) == []
    assert answered().questions(LIVES, 10) == []


def test_a_worker_that_may_not_run_the_step_is_never_asked_about_again() -> None:
    assert answered().questions(LIVES, 100_000) == [ONE]


def test_a_ticket_is_renewed_before_it_ends_and_not_used_at_its_end() -> None:
    tickets = answered()
    assert tickets.find(ONE, 1, 1_000) == "t1"
    assert tickets.questions(LIVES, 4_000) == [ONE]
    assert tickets.find(ONE, 1, 4_900) is None


def test_a_ticket_holds_for_one_life_of_a_worker() -> None:
    tickets = answered()
    assert tickets.find(ONE, 2, 1_000) is None
    assert tickets.questions({ONE: 2}, 1_000) == [ONE]


def test_a_question_without_an_answer_is_asked_again() -> None:
    tickets = StepTickets()
    tickets.note_question(0)
    assert tickets.questions(LIVES, 2_000) == [ONE, TWO]


def test_a_refused_ticket_is_asked_for_again() -> None:
    tickets = answered()
    tickets.drop(ONE)
    assert tickets.find(ONE, 1, 10) is None
    assert tickets.questions(LIVES, 10) == [ONE]
