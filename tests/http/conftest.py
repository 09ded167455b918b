from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.http.limits import HttpLimits
from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

LIMITS = HttpLimits(
    connections=8,
    header_bytes=2_048,
    request_line_bytes=1_024,
    body_bytes=4_096,
    receive_timeout_ms=500,
    idle_timeout_ms=60_000,
)


@pytest.fixture(scope="module")
def site() -> Iterator[LocalSite]:
    site_file = SiteFile(
        zones=("zone-a",),
        entry_hosts=1,
        endpoints=2,
        workers=1,
        workers_per_rack=1,
        worker_capacity=Resources(8, 60, 250),
        first_port=find_free_port_block(),
    )
    with LocalSite(site_file, limits=LIMITS) as site:
        site.wait_until_ready()
        yield site
