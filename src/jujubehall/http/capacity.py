"""Limits that all HTTP connections of a process share, whichever port they were accepted on."""

from __future__ import annotations

import os
import resource

from typing import TYPE_CHECKING
from typing import Any

from jujubehall.core.connections.capacity import ConnectionCapacity
from jujubehall.core.connections.capacity import plan_capacity
from jujubehall.http.connection_memory import ConnectionMemory
from jujubehall.http.input_queue import InputQueue
from jujubehall.http.request_handling import HandledRequests

if TYPE_CHECKING:
    from jujubehall.clock import Reactor

MIB = 1024 * 1024
UNLIMITED_DESCRIPTORS = 2**20


class HttpCapacity:
    """The memory that the connections may use together, and the time that their input may take."""

    def __init__(self, reactor: Reactor, plan: ConnectionCapacity) -> None:
        self.plan = plan
        self.memory = ConnectionMemory(reactor, plan.memory_bytes)
        self.requests = HandledRequests(self.memory, plan.connections)
        self.input = InputQueue(reactor)


def make_http_capacity(
    reactor: Any, machine_memory_mb: int | None = None, descriptors: int | None = None
) -> HttpCapacity:
    """Plans the capacity for a machine, whose limits may be below those of the operating system."""
    memory_bytes = available_memory_bytes()
    if machine_memory_mb:
        memory_bytes = min(memory_bytes, machine_memory_mb * MIB)
    available = available_descriptors()
    return HttpCapacity(
        reactor, plan_capacity(memory_bytes, min(available, descriptors or available))
    )


def available_memory_bytes() -> int:
    """Returns the memory that the process may use: of the machine, or less if it is limited."""
    physical = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    limits = [resource.getrlimit(each)[0] for each in (resource.RLIMIT_AS, resource.RLIMIT_DATA)]
    return min([physical, *(each for each in limits if each != resource.RLIM_INFINITY)])


def available_descriptors() -> int:
    """Returns how many file descriptors the process may open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return UNLIMITED_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit
