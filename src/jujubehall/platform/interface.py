"""Interface to the platform, implemented by the HTTP client and by test fakes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

WATCH_WAIT_MS = 30_000

if TYPE_CHECKING:
    from result import Result

    from jujubehall.errors import Failure
    from jujubehall.identifiers import Version
    from jujubehall.platform.entry import Changes
    from jujubehall.platform.entry import Entry
    from jujubehall.platform.host import Host


class Platform(Protocol):
    """A key-value service with compare-and-swap, leases and watches, and a list of hosts.

    The methods are documented in ``PlatformClient``.
    """

    async def get(self, key: str) -> Result[Entry, Failure]: ...

    async def list_entries(self, prefix: str) -> Result[Changes, Failure]: ...

    async def put(
        self, key: str, value: Any, expected_version: Version, lease: str = ""
    ) -> Result[Version, Failure]: ...

    async def delete(self, key: str, expected_version: Version) -> Result[None, Failure]: ...

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int = WATCH_WAIT_MS
    ) -> Result[Changes, Failure]: ...

    async def grant_lease(self, ttl_ms: int) -> Result[str, Failure]: ...

    async def renew_lease(self, lease: str) -> Result[None, Failure]: ...

    async def revoke_lease(self, lease: str) -> Result[None, Failure]: ...

    async def hosts(self) -> Result[list[Host], Failure]: ...
