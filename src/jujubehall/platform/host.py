"""Entries of the platform's list of live and leaving hosts."""

from __future__ import annotations

from enum import Enum

import msgspec


class HostKind(Enum):
    """What runs on a listed host."""

    WORKER = "worker"
    ENDPOINT = "endpoint"


class HostState(Enum):
    """What the platform last knew of a host; the list lags."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True):
    """A host of the platform's list, with its HTTP base address and location."""

    name: str
    kind: HostKind
    address: str
    zone: str
    rack: str = ""
    state: HostState = HostState.LIVE
