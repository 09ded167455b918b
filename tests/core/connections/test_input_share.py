from __future__ import annotations

from jujubehall.core.connections.input_share import BURST_S
from jujubehall.core.connections.input_share import FORGIVEN_AFTER_S
from jujubehall.core.connections.input_share import INPUT_SHARE
from jujubehall.core.connections.input_share import InputShare

PIECE_S = 0.005


def test_input_is_processed_at_once_while_there_is_little() -> None:
    share: InputShare[str] = InputShare(0.0)
    now_s = 0.0
    for _ in range(1_000):
        assert share.may_process(now_s)
        now_s += PIECE_S
        share.charge("caller", PIECE_S, now_s)
        now_s += PIECE_S


def test_input_without_end_takes_its_share_of_the_time() -> None:
    share: InputShare[str] = InputShare(0.0)
    now_s = busy_s = 0.0
    while now_s < 10.0:
        if share.may_process(now_s):
            now_s += PIECE_S
            busy_s += PIECE_S
            share.charge("caller", PIECE_S, now_s)
        else:
            now_s += share.wait_s(now_s) + 1e-6
    assert busy_s <= INPUT_SHARE * now_s + BURST_S + PIECE_S
    assert busy_s >= 0.9 * INPUT_SHARE * now_s


def test_connection_with_little_input_comes_before_a_crowd() -> None:
    share: InputShare[str] = InputShare(0.0)
    for number in range(100):
        share.charge(f"crowd-{number}", PIECE_S, 0.1)
        share.add(f"crowd-{number}", 0.1)
    share.add("caller", 0.2)
    assert share.next() == "caller"
    assert share.next() == "crowd-0"


def test_connections_with_the_same_input_take_turns() -> None:
    share: InputShare[str] = InputShare(0.0)
    for key in ("a", "b", "c"):
        share.add(key, 0.0)
    order: list[str | None] = []
    for _ in range(9):
        chosen = share.next()
        assert chosen is not None
        order.append(chosen)
        share.charge(chosen, PIECE_S, 0.1)
        share.add(chosen, 0.1)
    assert order == ["a", "b", "c"] * 3


def test_quiet_connection_counts_as_new() -> None:
    share: InputShare[str] = InputShare(0.0)
    share.charge("kept open", 1.0, 0.0)
    share.charge("busy", PIECE_S, FORGIVEN_AFTER_S)
    share.add("busy", FORGIVEN_AFTER_S)
    share.add("kept open", FORGIVEN_AFTER_S)
    assert share.next() == "kept open"


def test_closed_connections_leave_nothing_behind() -> None:
    share: InputShare[int] = InputShare(0.0)
    share.charge(0, 1.0, 0.1)
    for number in range(10_000):
        share.add(number, 0.1)
        share.forget(number)
    assert not share.has_waiting
    assert share.next() is None


def test_time_in_which_the_process_was_suspended_is_not_charged() -> None:
    share: InputShare[str] = InputShare(0.0)
    share.charge("caller", 30.0, 30.0)
    assert share.may_process(30.0)
