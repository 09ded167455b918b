"""Provides a small virtual site to the tests of this folder."""

from __future__ import annotations

import pytest

from jujubehall.testing.virtual.fleet.site import VirtualFleet
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite


@pytest.fixture
def site() -> VirtualFleet:
    """Returns a site of three entry hosts and four workers that has elected an owner."""
    fleet = VirtualFleet(CONFIGURATION, SmallSite().listed)
    assert fleet.run_until(lambda: fleet.owner is not None, 5.0)
    fleet.run(1.0)
    return fleet
