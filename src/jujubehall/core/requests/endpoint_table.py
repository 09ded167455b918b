"""What an entry host knows of each endpoint, and its choice among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import EndpointName

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

FAILURES_BEFORE_EJECTION = 5
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
MAX_EJECTED_SHARE = 0.34
LEAVING_STATEMENT_MS = 60_000
"""How long an endpoint's own statement counts against a list that still shows it live."""


class EndpointState(msgspec.Struct):
    """An endpoint's address, whether it is leaving, and what this entry host has sent to it."""

    name: EndpointName
    address: str
    leaving: bool = False
    in_flight: int = 0
    failures: int = 0
    """Failed runs in a row."""

    ejections: int = 0
    ejected_until_ms: int = 0
    on_probation: bool = False
    """Whether it was ejected and has not answered well since; it gets one request at a time."""

    leaving_until_ms: int = 0


class EndpointTable:
    """Chooses endpoints within this entry host's allotment of slots."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._endpoints: dict[EndpointName, EndpointState] = {}

    @property
    def endpoints(self) -> list[EndpointState]:
        """All known endpoints."""
        return list(self._endpoints.values())

    def update(self, listed: Iterable[EndpointState]) -> None:
        """Takes over the platform's list; an endpoint that is not listed counts as leaving."""
        listed_by_name = {endpoint.name: endpoint for endpoint in listed}
        for name, endpoint in listed_by_name.items():
            known = self._endpoints.get(name)
            if known is not None and known.address == endpoint.address:
                known.leaving = endpoint.leaving
            else:
                self._endpoints[name] = endpoint
        for name in set(self._endpoints) - set(listed_by_name):
            gone = self._endpoints[name]
            gone.leaving = True
            if not gone.in_flight:
                del self._endpoints[name]

    def mark_leaving(self, name: EndpointName, now_ms: int) -> None:
        """Records an endpoint's own statement that it is leaving."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.leaving_until_ms = now_ms + LEAVING_STATEMENT_MS
            endpoint.on_probation = True

    def on_success(self, endpoint: EndpointState) -> None:
        """Records a whole answer, which ends a probation."""
        endpoint.failures = 0
        endpoint.ejections = 0
        endpoint.on_probation = False

    def on_failure(self, endpoint: EndpointState, now_ms: int) -> None:
        """Records a failed run; too many in a row eject the endpoint for a while."""
        endpoint.failures += 1
        limit = 1 if endpoint.on_probation else FAILURES_BEFORE_EJECTION
        if endpoint.failures >= limit and self._may_eject(now_ms):
            bound_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(endpoint.ejections, 10))
            endpoint.ejected_until_ms = now_ms + bound_ms
            endpoint.ejections += 1
            endpoint.failures = 0
            endpoint.on_probation = True

    def capacity(self, allotment: Callable[[EndpointName], int], now_ms: int) -> int:
        """The slots that this entry host may use in all."""
        usable = [endpoint for endpoint in self._endpoints.values() if _is_usable(endpoint, now_ms)]
        return sum(_limit(endpoint, allotment) for endpoint in usable)

    def acquire(
        self,
        allotment: Callable[[EndpointName], int],
        excluded: Collection[EndpointName],
        now_ms: int,
    ) -> EndpointState | None:
        """Takes a slot at the less loaded of two random endpoints, or None if none has one."""
        free = [
            endpoint
            for endpoint in self._endpoints.values()
            if _is_usable(endpoint, now_ms)
            and endpoint.in_flight < _limit(endpoint, allotment)
            and endpoint.name not in excluded
        ]
        if not free:
            return None
        candidates = self._random.sample(free, min(2, len(free)))
        chosen = min(candidates, key=lambda endpoint: endpoint.in_flight)
        chosen.in_flight += 1
        return chosen

    def release(self, endpoint: EndpointState) -> None:
        """Gives back a slot that ``acquire`` took."""
        assert endpoint.in_flight > 0, f"{endpoint.name} has nothing in flight"
        endpoint.in_flight -= 1

    def _may_eject(self, now_ms: int) -> bool:
        ejected = sum(each.ejected_until_ms > now_ms for each in self._endpoints.values())
        return ejected + 1 <= MAX_EJECTED_SHARE * len(self._endpoints)


def _is_usable(endpoint: EndpointState, now_ms: int) -> bool:
    if endpoint.leaving or endpoint.leaving_until_ms > now_ms:
        return False
    return endpoint.ejected_until_ms <= now_ms


def _limit(endpoint: EndpointState, allotment: Callable[[EndpointName], int]) -> int:
    allotted = allotment(endpoint.name)
    return min(1, allotted) if endpoint.on_probation else allotted
