"""The work of a round grows with the site no faster than its workers do."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.resources import Resources
from tests.core.fleet.fleet_book import EIGHT_GPUS
from tests.core.fleet.fleet_book import OVERNIGHT
from tests.core.fleet.fleet_book import URGENT
from tests.core.fleet.fleet_book import SmallSite
from tests.core.fleet.fleet_book import step

if TYPE_CHECKING:
    import pytest

GANG = step(tasks=4, needs=EIGHT_GPUS, is_gang=True, prefers_one_rack=True)


def comparisons_of_a_round(workers: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """How often needs are compared with room when a full site gets batch work and a gang."""
    site = SmallSite(workers, rack_size=8)
    site.submit("batch", step(tasks=workers * 8), queue=OVERNIGHT)
    site.started()
    site.submit("more", step(tasks=workers * 4), queue=OVERNIGHT)
    site.submit("gang", GANG, queue=URGENT)
    return _count_comparisons(site, monkeypatch)


def comparisons_of_filling(workers: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """How often needs are compared with room when an empty site is filled in one round."""
    site = SmallSite(workers, rack_size=8)
    site.submit("batch", step(tasks=workers * 8), queue=OVERNIGHT)
    return _count_comparisons(site, monkeypatch)


def _count_comparisons(site: SmallSite, monkeypatch: pytest.MonkeyPatch) -> int:
    count = 0
    fits_in = Resources.fits_in
    copies_in = Resources.copies_in

    def counted_fits_in(needs: Resources, room: Resources) -> bool:
        nonlocal count
        count += 1
        return fits_in(needs, room)

    def counted_copies_in(needs: Resources, room: Resources) -> int:
        nonlocal count
        count += 1
        return copies_in(needs, room)

    with monkeypatch.context() as patched:
        patched.setattr(Resources, "fits_in", counted_fits_in)
        patched.setattr(Resources, "copies_in", counted_copies_in)
        assert site.decide()
    return count


def test_an_urgent_gang_costs_no_more_a_worker_on_a_large_site(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ten times the workers take at most about ten times the comparisons."""
    assert comparisons_of_a_round(240, monkeypatch) < 12 * comparisons_of_a_round(24, monkeypatch)


def test_filling_a_site_costs_no_more_a_task_on_a_large_site(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ten times the workers and tasks take at most about ten times the comparisons."""
    assert comparisons_of_filling(240, monkeypatch) < 12 * comparisons_of_filling(24, monkeypatch)
