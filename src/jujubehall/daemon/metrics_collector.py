"""Brings the metrics that are read from the state up to date."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from jujubehall import metrics
from jujubehall.core.jobs.job import JobState
from jujubehall.operators.ownership_view import ownership_view

if TYPE_CHECKING:
    from jujubehall.daemon.entry_host import EntryHost
    from jujubehall.platform.client import PlatformClient


class MetricsCollector:
    """Reads the state of an entry host when its metrics are rendered, and not before."""

    def __init__(self, host: EntryHost, platform: PlatformClient) -> None:
        self._host = host
        self._platform = platform

    def collect(self) -> None:
        """Sets every gauge, and the counters that others keep."""
        host = self._host
        metrics.REQUESTS_IN_PROGRESS.set({}, host.requests.in_progress)
        metrics.CONFIGURATION_NUMBER.set({}, host.configuration.current.number)
        metrics.PLATFORM_CONNECTED.set({}, int(host.cache.is_connected))
        metrics.READY.set({}, int(host.is_ready))
        self._collect_ownership()
        self._collect_jobs()
        for kind, count in self._platform.calls.items():
            metrics.PLATFORM_CALLS.set({"kind": kind}, count)

    def _collect_ownership(self) -> None:
        membership = self._host.membership
        record = membership.record
        metrics.OWNERSHIP_EPOCH.set({}, record.epoch)
        metrics.MEMBERS.set({}, len(record.members))
        own = [
            each
            for each in ownership_view(record).entry_hosts
            if each.member.name == membership.member.name and membership.is_member
        ]
        metrics.OWNED_SCOPES.set({"kind": "zone"}, sum(len(each.zones) for each in own))
        metrics.OWNED_SCOPES.set({"kind": "requests"}, sum(each.request_shards for each in own))

    def _collect_jobs(self) -> None:
        states = Counter(job.state for job in self._host.jobs.jobs)
        for state in JobState:
            metrics.JOBS.set({"state": state.value}, states[state])
