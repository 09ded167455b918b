"""Updates the claim heads of other entry hosts: seals them and marks them as cleared."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.requests.claim_records import ClaimHead
from jujubehall.core.requests.claim_records import head_key
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Epoch
    from jujubehall.platform.interface import Platform


async def seal_head(platform: Platform, name: EntryHostName, epoch: Epoch) -> Result[None, Failure]:
    """Seals another entry host's head for ``epoch``, retrying when a concurrent write wins.

    The sealed head stores ``epoch``, so that its entry host can't reopen it for an earlier epoch.
    """
    while True:
        found = await platform.get(head_key(name))
        if isinstance(found, Err):
            return found.map(lambda _: None)
        head = msgspec.convert(found.ok_value.value, ClaimHead)
        if head.blocks_claims_before(epoch):
            return Ok(None)
        sealed = msgspec.structs.replace(head, sealed=True, epoch=epoch)
        key = head_key(name)
        written = await platform.put(key, msgspec.to_builtins(sealed), found.ok_value.version)
        if isinstance(written, Ok):
            return Ok(None)
        if written.err_value.kind is not FailureKind.CONFLICT:
            return Err(written.err_value)


async def mark_cleared(platform: Platform, head: ClaimHead) -> Result[None, Failure]:
    """Marks a sealed head as cleared: no valid claim exists only in its entry host's memory.

    Does nothing if the head was reopened, belongs to another incarnation or is cleared already.
    """
    while True:
        found = await platform.get(head_key(head.name))
        if isinstance(found, Err):
            return found.map(lambda _: None)
        recorded = msgspec.convert(found.ok_value.value, ClaimHead)
        if recorded.incarnation != head.incarnation or not recorded.sealed or recorded.cleared:
            return Ok(None)
        cleared = msgspec.to_builtins(msgspec.structs.replace(recorded, cleared=True))
        written = await platform.put(head_key(head.name), cleared, found.ok_value.version)
        if isinstance(written, Ok):
            return Ok(None)
        if written.err_value.kind is not FailureKind.CONFLICT:
            return Err(written.err_value)
