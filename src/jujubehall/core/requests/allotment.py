"""Divides an endpoint's slots among the entry hosts without a central counter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.ownership.scopes import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection

    from jujubehall.identifiers import EndpointName
    from jujubehall.identifiers import EntryHostName


def allotment(
    limit: int, endpoint: EndpointName, members: Collection[EntryHostName], own_name: EntryHostName
) -> int:
    """Returns how many of an endpoint's ``limit`` slots the entry host ``own_name`` may use.

    The allotments of all members add up to ``limit``. The remainder of an uneven division goes to
    the members with the highest rendezvous hash for the endpoint, which spreads it over members
    and endpoints. An entry host that is not a member gets 0.

        allotment(8, EndpointName("endpoint-0"), eight_members, own_name) == 1
    """
    if own_name not in members:
        return 0
    share, remainder = divmod(limit, len(members))
    own_rank = _rank(endpoint, own_name)
    ranked_higher = sum(_rank(endpoint, member) > own_rank for member in members)
    return share + (1 if ranked_higher < remainder else 0)


def _rank(endpoint: EndpointName, member: EntryHostName) -> int:
    return stable_hash(f"{endpoint}@{member}")
