"""Tests in which order, and how many at once, commands get their slots."""

from __future__ import annotations

from typing import Any

import pytest

from twisted.internet.task import Clock as FakeReactor

from jujubehall.clock import reactor_clock
from jujubehall.core.fleet.command_window import INITIAL_LIMIT
from jujubehall.identifiers import WorkerName
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.fleet.command_slots import CommandRank
from jujubehall.services.fleet.command_slots import CommandSlot
from jujubehall.services.fleet.command_slots import CommandSlots

ABANDONED_STARTS = 2_000


@pytest.fixture
def reactor() -> FakeReactor:
    """Returns a reactor whose time only advances when a test says so."""
    return FakeReactor()


@pytest.fixture
def slots(reactor: Any) -> CommandSlots:
    """Returns command slots none of which is held."""
    return CommandSlots(reactor, reactor_clock(reactor))


@pytest.fixture
def held(slots: CommandSlots) -> list[CommandSlot]:
    """Returns all slots that may be held at once."""
    held: list[CommandSlot] = []

    async def hold() -> None:
        held.append(await slots.acquire(WorkerName("held"), CommandRank.STOP))

    while len(held) < slots.window.limit:
        run_in_background(hold())
    return held


def test_long_queue_of_abandoned_starts_ends_without_an_error(
    slots: CommandSlots, held: list[CommandSlot]
) -> None:
    finished = []

    async def abandon(number: int) -> None:
        slot = await slots.acquire(WorkerName(f"w{number}"), CommandRank.START)
        slot.release(is_answered=False)
        finished.append(number)

    for number in range(ABANDONED_STARTS):
        run_in_background(abandon(number))
    assert finished == []
    held[0].release(is_answered=False)
    assert sorted(finished) == list(range(ABANDONED_STARTS))


def test_gang_that_has_got_a_slot_gets_the_next_ones_before_other_gangs(
    slots: CommandSlots, held: list[CommandSlot]
) -> None:
    order = []

    async def acquire(gang: str | None, worker: str, rank: CommandRank) -> None:
        await slots.acquire(WorkerName(worker), rank, gang)
        order.append(gang or "stop")

    for gang, worker in (("a", "w0"), ("b", "w1"), ("c", "w2"), ("a", "w0"), ("b", "w1")):
        run_in_background(acquire(gang, worker, CommandRank.START))
    run_in_background(acquire(None, "w0", CommandRank.STOP))
    for slot in held[:6]:
        slot.release(is_answered=False)
    assert order == ["stop", "a", "a", "b", "b", "c"]


def test_scheduling_rounds_do_not_reduce_the_commands_in_flight(
    reactor: FakeReactor, slots: CommandSlots, held: list[CommandSlot]
) -> None:
    for slot in held:
        slot.note_sent()
    reactor.advance(0.45)
    slots.note_blocked(400)
    for slot in held:
        slot.release(is_answered=True)
    assert slots.window.limit == 2 * INITIAL_LIMIT


def test_command_that_was_answered_during_a_round_does_not_hold_back_others_to_its_worker(
    reactor: FakeReactor, slots: CommandSlots, held: list[CommandSlot]
) -> None:
    waiting = slots.acquire(held[0].worker, CommandRank.STOP)
    held[0].note_sent()
    slots.note_blocked(150)
    reactor.advance(0.25)
    held[1].release(is_answered=False)
    assert waiting.called
