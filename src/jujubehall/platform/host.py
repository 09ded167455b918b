"""Entries of the platform's list of hosts."""

from __future__ import annotations

from enum import Enum

import msgspec


class HostKind(Enum):
    """The role of a listed host."""

    WORKER = "worker"
    ENDPOINT = "endpoint"


class HostState(Enum):
    """The state of a host when the platform last updated its list, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True):
    """A listed host with its HTTP base address and its location."""

    name: str
    kind: HostKind
    address: str
    zone: str
    rack: str = ""
    state: HostState = HostState.LIVE
