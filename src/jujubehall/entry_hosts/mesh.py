"""Interface to the mesh, which carries requests and responses between entry hosts."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.errors import Failure
    from jujubehall.identifiers import EntryHostName

MessageHandler = Callable[["EntryHostName", Any], Awaitable["Message"]]


class Mesh(Protocol):
    """Sends messages to members; implemented with ZeroMQ and by test fakes."""

    def register(self, message_type: type[Any], handler: MessageHandler) -> None:
        """Registers the handler that responds to messages of one type."""

    def connect(self, members: Iterable[Member]) -> None:
        """Connects to the given members and closes connections to all others."""

    async def request(
        self, member: Member, message: Message, timeout_ms: int
    ) -> Result[Message, Failure]:
        """Sends a message and waits at most ``timeout_ms`` milliseconds for the response.

        After ``NOT_SENT``, the member has certainly not received the message.
        """
