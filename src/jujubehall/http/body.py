"""Body producer for HTTP requests whose body is held in memory."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesBodyProducer:
    """Sends a byte string as a request body with a known ``Content-Length``."""

    def __init__(self, content: bytes) -> None:
        self._content = content
        self.length = len(content)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Writes the whole body to ``consumer`` and returns an already fired ``Deferred``."""
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing, as ``startProducing`` has already written the whole body."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing, as ``startProducing`` has already written the whole body."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing, as ``startProducing`` has already written the whole body."""
