"""Splits an endpoint's slots among the entry hosts without a central counter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.ownership.scopes import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection

    from jujubehall.identifiers import EndpointName
    from jujubehall.identifiers import EntryHostName


def allotment(
    limit: int, endpoint: EndpointName, members: Collection[EntryHostName], own: EntryHostName
) -> int:
    """The part of an endpoint's ``limit`` that ``own`` may use.

    The parts of all members add up to ``limit``. What can't be split evenly goes to the members
    that rank first by rendezvous hashing, so that it is spread over members and endpoints.

        allotment(8, EndpointName("endpoint-0"), eight_members, own) == 1
    """
    if own not in members:
        return 0
    share, remainder = divmod(limit, len(members))
    own_rank = _rank(endpoint, own)
    ahead = sum(_rank(endpoint, member) > own_rank for member in members)
    return share + (1 if ahead < remainder else 0)


def _rank(endpoint: EndpointName, member: EntryHostName) -> int:
    return stable_hash(f"{endpoint}@{member}")
