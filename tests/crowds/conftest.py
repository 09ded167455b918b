from __future__ import annotations

import resource

import pytest

DESCRIPTORS = 4_096
"""Enough for the connections of the largest crowd."""


@pytest.fixture(autouse=True, scope="session")
def descriptors() -> None:
    """Raises the soft limit of file descriptors, which is 1,024 on many machines."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTORS, hard), hard))
