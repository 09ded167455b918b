"""What an entry host knows of each endpoint, and its choice among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import EndpointName

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random


class EndpointState(msgspec.Struct):
    """An endpoint's address, whether it is leaving, and what this entry host has sent to it."""

    name: EndpointName
    address: str
    leaving: bool = False
    in_flight: int = 0


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
        """Takes over the platform's list; an endpoint known to be leaving stays so."""
        listed_by_name = {endpoint.name: endpoint for endpoint in listed}
        for name, endpoint in listed_by_name.items():
            known = self._endpoints.get(name)
            if known is not None and known.address == endpoint.address:
                known.leaving = known.leaving or endpoint.leaving
            else:
                self._endpoints[name] = endpoint
        for name in set(self._endpoints) - set(listed_by_name):
            self._endpoints[name].leaving = True

    def mark_leaving(self, name: EndpointName) -> None:
        """Records an endpoint's own statement that it is leaving."""
        self._endpoints[name].leaving = True

    def acquire(self, allotment: int, excluded: Collection[EndpointName]) -> EndpointState | None:
        """Takes a slot at the less loaded of two random endpoints, or None if none has one."""
        free = [
            endpoint
            for endpoint in self._endpoints.values()
            if not endpoint.leaving
            and endpoint.in_flight < allotment
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
