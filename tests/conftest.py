"""Fails a test if a background coroutine raises, because Twisted only logs such errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.testing.randomised.unhandled_errors import UnhandledErrorCollector

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def background_errors() -> Iterator[list[str]]:
    """Collects errors logged by Twisted and fails the test if any are left at its end.

    A test that expects errors must clear the list.
    """
    collector = UnhandledErrorCollector()
    try:
        yield collector.errors
        collector.collect_pending()
    finally:
        collector.close()
    assert not collector.errors, "\n".join(collector.errors)
