"""Tests when the writer of progress reports a flush as complete."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from result import Ok
from twisted.internet.task import Clock

from jujubehall.clock import to_seconds
from jujubehall.platform.site_store import Revision
from jujubehall.services.async_utils import ERROR_RETRY_DELAY_MS
from jujubehall.services.fleet.progress_writer import BATCH_DELAY_MS
from jujubehall.services.fleet.progress_writer import ProgressWriter
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step


def test_flush_is_not_complete_before_the_write_that_follows_an_exception() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    site.fleet_state.unsaved_jobs.add(job)
    reactor = Clock()
    committed: list[list[str]] = []
    errors = [RuntimeError("injected")]

    async def commit(_preconditions: Any, writes: Any, *_more: Any) -> Any:
        if errors:
            raise errors.pop()
        committed.append([write.key for write in writes])
        return Ok(Revision(2))

    store: Any = SimpleNamespace(commit=commit)
    writer = ProgressWriter(reactor, store, site.fleet_state, Revision(1), {}, lambda: None)
    keys_at_flush: list[list[list[str]]] = []
    writer.flushed().addCallback(lambda _: keys_at_flush.append(list(committed)))
    reactor.advance(to_seconds(BATCH_DELAY_MS))
    assert not errors
    assert keys_at_flush == []
    reactor.advance(to_seconds(ERROR_RETRY_DELAY_MS))
    assert keys_at_flush == [[["jujubehall/progress/job"]]]
