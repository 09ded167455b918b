"""The endpoints that an entry host knows, and load balancing over them."""

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
LEAVING_NOTICE_VALIDITY_MS = 60_000
"""How long an endpoint's own leaving notice overrides a list that still shows it as live."""


class EndpointState(msgspec.Struct):
    """An endpoint's address, its availability, and this entry host's requests to it."""

    name: EndpointName
    address: str
    leaving: bool = False
    in_flight: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    """Ejections since the last successful request; each one doubles the next ejection time."""

    ejected_until_ms: int = 0
    on_probation: bool = False
    """Whether it was ejected, or announced that it is leaving, and no request has succeeded since.

    An endpoint on probation gets one request at a time.
    """

    leaving_notice_until_ms: int = 0


class EndpointTable:
    """Selects endpoints within this entry host's allotment of slots."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._endpoints: dict[EndpointName, EndpointState] = {}

    @property
    def endpoints(self) -> list[EndpointState]:
        """All known endpoints."""
        return list(self._endpoints.values())

    def update(self, listed: Iterable[EndpointState]) -> None:
        """Applies the platform's list; an endpoint that is no longer listed is marked as leaving.

        It is removed by the first update that finds no request in flight to it.
        """
        listed_by_name = {endpoint.name: endpoint for endpoint in listed}
        for name, endpoint in listed_by_name.items():
            known = self._endpoints.get(name)
            if known is not None and known.address == endpoint.address:
                known.leaving = endpoint.leaving
            else:
                self._endpoints[name] = endpoint
        for name in set(self._endpoints) - set(listed_by_name):
            unlisted = self._endpoints[name]
            unlisted.leaving = True
            if not unlisted.in_flight:
                del self._endpoints[name]

    def mark_leaving(self, name: EndpointName, now_ms: int) -> None:
        """Records an endpoint's own notice that it is leaving."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.leaving_notice_until_ms = now_ms + LEAVING_NOTICE_VALIDITY_MS
            endpoint.on_probation = True

    def on_success(self, endpoint: EndpointState) -> None:
        """Records a complete response, which ends the endpoint's probation."""
        endpoint.consecutive_failures = 0
        endpoint.ejections = 0
        endpoint.on_probation = False

    def on_failure(self, endpoint: EndpointState, now_ms: int) -> None:
        """Records a failed run; too many consecutive failures eject the endpoint temporarily.

        The ejection time doubles with each ejection, up to ``MAX_EJECTION_MS``.
        """
        endpoint.consecutive_failures += 1
        limit = 1 if endpoint.on_probation else FAILURES_BEFORE_EJECTION
        if endpoint.consecutive_failures >= limit and self._may_eject(now_ms):
            ejection_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(endpoint.ejections, 10))
            endpoint.ejected_until_ms = now_ms + ejection_ms
            endpoint.ejections += 1
            endpoint.consecutive_failures = 0
            endpoint.on_probation = True

    def capacity(self, allotment: Callable[[EndpointName], int], now_ms: int) -> int:
        """Returns the number of slots that this entry host may use on all endpoints together."""
        usable = [endpoint for endpoint in self._endpoints.values() if _is_usable(endpoint, now_ms)]
        return sum(_slot_limit(endpoint, allotment) for endpoint in usable)

    def acquire(
        self,
        allotment: Callable[[EndpointName], int],
        excluded: Collection[EndpointName],
        now_ms: int,
    ) -> EndpointState | None:
        """Acquires a slot on the less loaded of two random endpoints with a free slot.

        Returns None if no endpoint has a free slot.
        """
        free = [
            endpoint
            for endpoint in self._endpoints.values()
            if _is_usable(endpoint, now_ms)
            and endpoint.in_flight < _slot_limit(endpoint, allotment)
            and endpoint.name not in excluded
        ]
        if not free:
            return None
        candidates = self._random.sample(free, min(2, len(free)))
        chosen = min(candidates, key=lambda endpoint: endpoint.in_flight)
        chosen.in_flight += 1
        return chosen

    def release(self, endpoint: EndpointState) -> None:
        """Releases a slot acquired by ``acquire``."""
        assert endpoint.in_flight > 0, f"endpoint {endpoint.name} has no request in flight"
        endpoint.in_flight -= 1

    def _may_eject(self, now_ms: int) -> bool:
        ejected = sum(each.ejected_until_ms > now_ms for each in self._endpoints.values())
        return ejected + 1 <= MAX_EJECTED_SHARE * len(self._endpoints)


def _is_usable(endpoint: EndpointState, now_ms: int) -> bool:
    if endpoint.leaving or endpoint.leaving_notice_until_ms > now_ms:
        return False
    return endpoint.ejected_until_ms <= now_ms


def _slot_limit(endpoint: EndpointState, allotment: Callable[[EndpointName], int]) -> int:
    allotted = allotment(endpoint.name)
    return min(1, allotted) if endpoint.on_probation else allotted
