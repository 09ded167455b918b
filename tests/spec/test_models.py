"""Tests that the models hold within the search depth and that broken variants don't."""

from __future__ import annotations

import pytest

from spec.catalogue import CATALOGUE
from spec.catalogue import CatalogueEntry
from spec.checker import find_violation


@pytest.mark.parametrize("entry", CATALOGUE, ids=[entry.model.name for entry in CATALOGUE])
def test_violation_is_found_only_in_broken_variants(entry: CatalogueEntry) -> None:
    violation = find_violation(entry.model, entry.max_steps)
    assert (violation is not None) == entry.is_broken, violation
