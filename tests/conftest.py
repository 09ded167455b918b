"""Fails a test when a background coroutine raised, which twisted would only log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.testing.randomised.escaped_errors import EscapedErrors

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def background_errors() -> Iterator[list[str]]:
    """Collects the errors that reach twisted's log; a test that expects some clears the list."""
    escaped = EscapedErrors()
    try:
        yield escaped.errors
        escaped.collect()
    finally:
        escaped.close()
    assert not escaped.errors, "\n".join(escaped.errors)
