"""Collects unhandled errors, such as failed assertions in the tested services."""

from __future__ import annotations

import gc

from typing import Any

from twisted.python import log


class UnhandledErrorCollector:
    """Records every error that Twisted logs until ``close`` is called."""

    def __init__(self) -> None:
        self._errors: list[str] = []
        log.addObserver(self._observe)

    @property
    def errors(self) -> list[str]:
        """The tracebacks of the recorded errors; clear the list to discard expected ones."""
        return self._errors

    def collect_pending(self) -> None:
        """Runs the garbage collector, since Twisted logs unawaited failures on finalisation."""
        gc.collect()

    def close(self) -> None:
        """Stops recording."""
        log.removeObserver(self._observe)

    def _observe(self, event: dict[str, Any]) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            self._errors.append(failure.getTraceback() if failure else str(event.get("message")))
