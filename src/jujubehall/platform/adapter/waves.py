"""Reads the operators' maintenance waves from the store and builds their status records."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from jujubehall.clock import MS_PER_SECOND
from jujubehall.core.maintenance.wave import Wave
from jujubehall.decoding import decode_json
from jujubehall.identifiers import MachineName
from jujubehall.identifiers import WaveNumber
from jujubehall.platform.adapter import wire
from jujubehall.platform.site_machines import Waves
from jujubehall.platform.site_store import Write

if TYPE_CHECKING:
    from result import Result

    from jujubehall.errors import Failure
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItem
    from jujubehall.platform.site_store import StoredItems

WAVES_PREFIX = "op/wave/"
STATUS_PREFIX = "status/wave/"

log = structlog.get_logger()


class StoreWaves:
    """Implements ``SiteWaves`` on top of the store."""

    def __init__(self, store: SiteStore) -> None:
        self._store = store

    async def list_waves(self) -> Result[Waves, Failure]:
        """Reads all waves; undecodable ones are left out and logged."""
        return (await self._store.list_items(WAVES_PREFIX)).map(_to_waves)

    async def wait_for_waves(self, after: Revision, wait_ms: int) -> Result[Waves, Failure]:
        """Waits for waves written after revision ``after``, at most ``wait_ms``."""
        return (await self._store.watch(WAVES_PREFIX, after, wait_ms)).map(_to_waves)

    def build_status_write(self, wave: WaveNumber, is_done: bool) -> Write:
        """Returns the write that reports the status of a wave to the operators."""
        status = wire.WaveStatus("succeeded" if is_done else "running")
        return Write(f"{STATUS_PREFIX}{wave}", msgspec.json.encode(status))


def _to_waves(stored: StoredItems) -> Waves:
    waves = [_to_wave(item) for item in stored.items if not item.is_deleted]
    return Waves([wave for wave in waves if wave is not None], stored.revision)


def _to_wave(item: StoredItem) -> Wave | None:
    try:
        decoded = decode_json(item.value, wire.Wave)
    except msgspec.DecodeError as error:
        log.warning("undecodable wave ignored", key=item.key, error=str(error))
        return None
    return Wave(
        WaveNumber(decoded.number),
        tuple(MachineName(name) for name in decoded.machines),
        round(decoded.duration_s * MS_PER_SECOND),
        max(1, decoded.most_down),
    )
