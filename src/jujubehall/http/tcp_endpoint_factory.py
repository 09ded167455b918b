"""TCP endpoints for HTTP clients whose URLs contain IPv4 addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.web.client import URI


@implementer(IAgentEndpointFactory)
class TcpEndpointFactory:
    """Creates plain TCP endpoints without resolving host names.

    The URLs of peers contain IPv4 addresses. Twisted's default factory would IDNA-encode the host
    name for every request, even before it looks for a pooled connection.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        """Returns the endpoint for ``uri``; called by Twisted's ``Agent`` for each request."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self._reactor, host, uri.port, self._connect_timeout_s)
