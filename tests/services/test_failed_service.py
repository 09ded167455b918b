"""Tests that an entry host stops if an exception ends one of its service loops.

Otherwise it would remain a member although it no longer does its work.
"""

from __future__ import annotations

import pytest

from jujubehall.services.membership import Membership
from jujubehall.services.state_cache import StateCache
from jujubehall.testing.site_file import SiteFile
from jujubehall.testing.virtual.site import VirtualSite
from jujubehall.workers.messages import Resources

SITE = SiteFile(("zone-a",), 2, 1, 1, 1, Resources(8, 60, 250), 20_000)


@pytest.mark.parametrize(
    ("service", "method"),
    [(StateCache, "_watch"), (Membership, "_propose_record"), (Membership, "_register")],
)
def test_unexpected_exception_stops_the_entry_host(
    service: type, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(self: object) -> bool:
        raise RuntimeError("unexpected exception")

    monkeypatch.setattr(service, method, fail)
    site = VirtualSite(SITE, seed=1)
    ended: list[str] = []
    for name, each in site.hosts.items():
        each.entry_host.add_failure_listener(lambda name=name: ended.append(name))  # type: ignore[misc]
    site.run_for(3_000)
    assert sorted(set(ended)) == sorted(site.hosts)
