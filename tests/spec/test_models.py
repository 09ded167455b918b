"""The core protocols hold within the searched steps, and each broken variant is caught."""

from __future__ import annotations

import pytest

from spec.catalogue import CATALOGUE
from spec.catalogue import Entry
from spec.checker import find_violation


@pytest.mark.parametrize("entry", CATALOGUE, ids=[entry.model.name for entry in CATALOGUE])
def test_model(entry: Entry) -> None:
    violation = find_violation(entry.model, entry.max_steps)
    assert (violation is not None) == entry.is_broken, violation
