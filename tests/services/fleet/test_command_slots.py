"""Tests in which order, and how many at once, commands get their slots."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import Clock as FakeReactor

from jujubehall.clock import reactor_clock
from jujubehall.identifiers import WorkerName
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.fleet.command_slots import CommandRank
from jujubehall.services.fleet.command_slots import CommandSlot
from jujubehall.services.fleet.command_slots import CommandSlots

ABANDONED_STARTS = 2_000


def test_long_queue_of_abandoned_starts_ends_without_an_error() -> None:
    reactor: Any = FakeReactor()
    slots = CommandSlots(reactor, reactor_clock(reactor))
    finished = []

    async def abandon(number: int) -> None:
        slot = await slots.acquire(WorkerName(f"w{number}"), CommandRank.START)
        slot.release(is_answered=False)
        finished.append(number)

    held: list[CommandSlot] = []
    while len(held) < slots.window.limit:
        slots.acquire(WorkerName("held"), CommandRank.STOP).addCallback(held.append)
    for number in range(ABANDONED_STARTS):
        run_in_background(abandon(number))
    assert finished == []
    held[0].release(is_answered=False)
    assert sorted(finished) == list(range(ABANDONED_STARTS))
