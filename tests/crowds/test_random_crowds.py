"""Random crowds with fixed seeds; see ``random_crowds`` for runs with more of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.crowds.random_crowds import run_random_crowds

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.crowd


@pytest.mark.parametrize("seed", range(4))
def test_entry_host_bears_random_crowds(seed: int, tmp_path: Path) -> None:
    run_random_crowds(seed, tmp_path)
