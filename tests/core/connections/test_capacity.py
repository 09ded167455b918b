from __future__ import annotations

import pytest

from jujubehall.core.connections.capacity import CONNECTION_BYTES
from jujubehall.core.connections.capacity import KIB
from jujubehall.core.connections.capacity import MAX_CONNECTIONS
from jujubehall.core.connections.capacity import MIB
from jujubehall.core.connections.capacity import MIN_CONNECTIONS
from jujubehall.core.connections.capacity import plan_capacity


@pytest.mark.parametrize("memory_mb", [96, 160, 300, 552, 64_000])
@pytest.mark.parametrize("descriptors", [700, 1_638, 4_100, 1_048_576])
def test_plan_stays_within_the_machine(memory_mb: int, descriptors: int) -> None:
    plan = plan_capacity(memory_mb * MIB, descriptors)
    assert plan.memory_bytes == memory_mb * MIB // 4
    assert plan.connections * CONNECTION_BYTES <= plan.memory_bytes // 2
    assert MIN_CONNECTIONS <= plan.connections <= min(MAX_CONNECTIONS, descriptors // 2)


def test_each_resource_can_be_the_scarce_one() -> None:
    assert plan_capacity(64 * 1024 * MIB, 700).connections == 250
    assert plan_capacity(80 * MIB, 1_048_576).connections == 10 * MIB // CONNECTION_BYTES
    assert plan_capacity(64 * 1024 * MIB, 1_048_576).connections == MAX_CONNECTIONS


def test_tiny_machine_still_has_room_for_a_request() -> None:
    plan = plan_capacity(1 * MIB, 10)
    assert plan.connections == MIN_CONNECTIONS
    assert plan.memory_bytes >= 8 * 256 * KIB
