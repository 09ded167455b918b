"""A crowd of misbehaving clients doesn't end the daemon or exhaust its machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.http.limits import HttpLimits
from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.site_file import LOOPBACK
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources
from tests.crowds.crowd import Crowd
from tests.crowds.misbehaviour import kinds
from tests.crowds.process_usage import ProcessUsage
from tests.crowds.small_machine import MEMORY_MB
from tests.crowds.small_machine import check_limits
from tests.end_to_end.calls import retry_slot_hold_until_completed

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.crowds.misbehaviour import Misbehaviour

pytestmark = pytest.mark.crowd

CONNECTIONS = 300
ENTRY_HOST = "entry-0"


@pytest.fixture
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
    limits = HttpLimits(connections=CONNECTIONS)
    with LocalSite(site_file, limits=limits, memory_mb=MEMORY_MB) as site:
        site.wait_until_ready()
        yield site


@pytest.mark.parametrize("kind", kinds("/v1/requests"), ids=lambda kind: kind.name)
def test_crowd_of_callers(site: LocalSite, kind: Misbehaviour) -> None:
    address = (LOOPBACK, site.site.entry_host_ports(0)[0])
    usage = ProcessUsage(site.pid(ENTRY_HOST), [address])
    with Crowd(address, kind, usage.sample) as crowd:
        crowd.press()
        assert ENTRY_HOST in site.running_processes
        retry_slot_hold_until_completed(site, ENTRY_HOST, "beside-the-crowd")
        peak = usage.peak()
    assert ENTRY_HOST in site.running_processes
    check_limits(peak)
