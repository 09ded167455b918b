from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def site_file() -> SiteFile:
    return SiteFile(
        zones=("zone-a", "zone-b"),
        entry_hosts=3,
        endpoints=3,
        workers=4,
        workers_per_rack=2,
        worker_capacity=Resources(8, 60, 250),
        first_port=find_free_port_block(),
    )


@pytest.fixture
def site(site_file: SiteFile) -> Iterator[LocalSite]:
    with LocalSite(site_file) as site:
        site.wait_until_ready()
        yield site


@pytest.fixture
def stopped_site(site_file: SiteFile) -> Iterator[LocalSite]:
    with LocalSite(site_file, autostart=False) as site:
        yield site
