"""A request body held in memory."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesBody:
    """Writes a byte string as the body of a request, with its length known beforehand."""

    def __init__(self, content: bytes) -> None:
        self._content = content
        self.length = len(content)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Writes the whole content at once."""
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing: all was written at the start."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing: all was written at the start."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: all was written at the start."""
