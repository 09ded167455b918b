"""Processes the input of all HTTP connections in small pieces, within a share of the time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from jujubehall.core.connections.input_share import InputShare

if TYPE_CHECKING:
    from jujubehall.clock import Reactor


class InputSource(Protocol):
    """A connection with received input."""

    @property
    def has_input(self) -> bool:
        """Whether there is input that may be processed now."""

    def process_piece(self) -> None:
        """Processes the next piece of the input."""


class InputQueue:
    """Lets connections process their input, at once if there is time for it."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._share: InputShare[Any] = InputShare(reactor.seconds())
        self._call: Any = None

    def offer(self, source: InputSource) -> None:
        """Processes the input of ``source``, now or later."""
        while source.has_input and not self._share.has_waiting:
            if not self._share.may_process(self._reactor.seconds()):
                break
            self._process(source)
        if source.has_input:
            self._share.add(source, self._reactor.seconds())
            self._schedule()

    def forget(self, source: InputSource) -> None:
        """Drops a closed connection."""
        self._share.forget(source)

    def _process(self, source: InputSource) -> None:
        started_s = self._reactor.seconds()
        source.process_piece()
        now_s = self._reactor.seconds()
        self._share.charge(source, now_s - started_s, now_s)

    def _schedule(self) -> None:
        if self._call is None and self._share.has_waiting:
            wait_s = self._share.wait_s(self._reactor.seconds())
            self._call = self._reactor.callLater(wait_s, self._run)

    def _run(self) -> None:
        self._call = None
        while self._share.may_process(self._reactor.seconds()):
            source = self._share.next()
            if source is None:
                break
            if source.has_input:
                self._process(source)
            if source.has_input:
                self._share.add(source, self._reactor.seconds())
        self._schedule()
