"""Metrics endpoint of an entry host on the operators' platform."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from aioprometheus import render
from twisted.web.resource import Resource

from jujubehall import metrics
from jujubehall.core.jobs.job import JobState
from jujubehall.services.fleet.peers import caller_visible_state

if TYPE_CHECKING:
    from jujubehall.daemon.site_host import SiteHost
    from jujubehall.identifiers import ZoneName
    from jujubehall.services.fleet.latencies import LatencyHistogram


class MetricsResource(Resource):
    """Serves counters, gauges and latencies in the Prometheus text format."""

    isLeaf = True  # noqa: N815

    def __init__(self, host: SiteHost) -> None:
        super().__init__()
        self._host = host
        self._shown_zones: set[ZoneName] = set()
        """Zones that have been shown as evacuated."""

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Updates the metrics and renders them; called by Twisted."""
        self._collect()
        content, headers = render(metrics.REGISTRY, [])
        for name, value in headers.items():
            request.setHeader(name, value)
        return bytes(content)

    def _collect(self) -> None:
        host = self._host
        metrics.READY.set({}, int(host.is_ready))
        metrics.PLATFORM_CONNECTED.set({}, int(not host.store.is_lost))
        metrics.CONFIGURATION_NUMBER.set({}, host.configuration.version)
        metrics.CONFIGURATION_AGE.set({}, host.configuration.age_ms or 0)
        metrics.LIMITED_QUEUES.set({}, len(host.peers.admission_limits.waits_ms))
        metrics.OWNER_TOKEN.set({}, host.ownership.highest_token)
        metrics.OWNS_SITE.set({}, int(host.owner is not None))
        self._set_latencies("submission", host.submission_latencies)
        self._set_latencies("commit", host.store.commit_latencies)
        self._collect_evacuations()
        owner = host.owner
        metrics.CANCELLATIONS_KEPT.set({}, owner.cancellations.count if owner is not None else 0)
        if owner is None:
            return
        self._set_latencies("start", owner.start_latencies)
        self._set_latencies("gang-start", owner.gang_start_latencies)
        states = Counter(caller_visible_state(job) for job in owner.fleet_state.jobs.values())
        for state in JobState:
            metrics.JOBS.set({"state": state.value}, states[state])
        workers: Counter[str] = Counter(
            owner.worker_state(worker) for worker in owner.fleet_state.workers.values()
        )
        metrics.WORKER_SPEEDS_KNOWN.set({}, owner.fleet_state.speeds.known_workers)
        metrics.WORKER_SPEED_SPREAD.set({}, owner.fleet_state.speeds.spread)
        for name in owner.WORKER_STATES:
            metrics.WORKERS.set({"state": name}, workers[name])

    def _collect_evacuations(self) -> None:
        owner = self._host.owner
        evacuations = owner.zone_evacuations if owner is not None else None
        statuses = evacuations.statuses() if evacuations is not None else []
        for zone in self._shown_zones - {each.zone for each in statuses}:
            metrics.ZONE_EVACUATED.set({"zone": zone}, 0)
            metrics.ZONE_RUNS.set({"zone": zone}, 0)
        for status in statuses:
            self._shown_zones.add(status.zone)
            metrics.ZONE_EVACUATED.set({"zone": status.zone}, status.evacuated_ms)
            metrics.ZONE_RUNS.set({"zone": status.zone}, status.runs)

    def _set_latencies(self, step: str, latencies: LatencyHistogram) -> None:
        metrics.LATENCY_COUNT.set({"step": step}, latencies.count)
        for percentile, value_ms in latencies.percentiles().items():
            metrics.LATENCY.set({"step": step, "percentile": str(percentile)}, value_ms)
