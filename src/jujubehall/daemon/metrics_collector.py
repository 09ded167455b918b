"""Updates the metrics that are derived from the state of an entry host."""

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
    """Copies the state of an entry host into its metrics, only when they are rendered."""

    def __init__(self, host: EntryHost, platform: PlatformClient) -> None:
        self._host = host
        self._platform = platform

    def collect(self) -> None:
        """Sets all gauges, and the counters whose values other objects hold."""
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
        own_views = [
            entry_host
            for entry_host in ownership_view(record).entry_hosts
            if entry_host.member.name == membership.member.name and membership.is_member
        ]
        metrics.OWNED_SCOPES.set({"kind": "zone"}, sum(len(view.zones) for view in own_views))
        metrics.OWNED_SCOPES.set(
            {"kind": "requests"}, sum(view.request_shards for view in own_views)
        )

    def _collect_jobs(self) -> None:
        states = Counter(job.state for job in self._host.jobs.cached_jobs)
        for state in JobState:
            metrics.JOBS.set({"state": state.value}, states[state])
