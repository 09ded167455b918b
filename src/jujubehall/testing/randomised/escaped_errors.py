"""Errors that escaped from a service, such as an invariant inside the program that failed."""

from __future__ import annotations

import gc

from typing import Any

from twisted.python import log


class EscapedErrors:
    """Collects what twisted logs as an error while it is open."""

    def __init__(self) -> None:
        self._errors: list[str] = []
        log.addObserver(self._observe)

    @property
    def errors(self) -> list[str]:
        """The errors so far, each as a traceback; clear the list to forget them."""
        return self._errors

    def collect(self) -> None:
        """Has errors of coroutines that nobody waits for reported now."""
        gc.collect()

    def close(self) -> None:
        """Stops collecting."""
        log.removeObserver(self._observe)

    def _observe(self, event: dict[str, Any]) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            self._errors.append(failure.getTraceback() if failure else str(event.get("message")))
