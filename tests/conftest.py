"""Fails a test when a background coroutine raised, which twisted would only log."""

from __future__ import annotations

import gc

from typing import TYPE_CHECKING
from typing import Any

import pytest

from twisted.python import log

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def background_errors() -> Iterator[list[str]]:
    """Collects the errors that reach twisted's log; a test that expects some clears the list."""
    errors: list[str] = []

    def observe(event: dict[str, Any]) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            errors.append(failure.getTraceback() if failure else str(event.get("message")))

    log.addObserver(observe)
    try:
        yield errors
        # An unhandled Deferred reports its error when it is collected.
        gc.collect()
    finally:
        log.removeObserver(observe)
    assert not errors, "\n".join(errors)
