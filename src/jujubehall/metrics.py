"""Prometheus counters and gauges of the process, exposed at ``/metrics``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from result import Err

if TYPE_CHECKING:
    from result import Result

    from jujubehall.errors import Failure

REGISTRY = Registry()


def _counter(name: str, help_text: str) -> Counter:
    return Counter(f"jujubehall_{name}", help_text, registry=REGISTRY)


def _gauge(name: str, help_text: str) -> Gauge:
    return Gauge(f"jujubehall_{name}", help_text, registry=REGISTRY)


REQUESTS = _counter("requests_total", "Requests answered to callers, by kind and outcome.")
ENDPOINT_ATTEMPTS = _counter(
    "endpoint_attempts_total", "Requests sent to endpoints, by result; more than one is a retry."
)
CLAIMS = _counter("claims_total", "Claims of non-idempotent requests, by result.")
WORKER_COMMANDS = _counter("worker_commands_total", "Commands to workers, by step and result.")
PLATFORM_CALLS = _counter("platform_calls_total", "Calls to the platform, by kind.")
CONFIGURATION_CHANGES = _counter(
    "configuration_changes_total", "Changes asked for here, by result."
)
HTTP_RESPONSES = _counter("http_responses_total", "Answers to callers and operators, by status.")
HTTP_REFUSALS = _counter("http_refusals_total", "Connections refused before a route, by status.")
HTTP_EVICTIONS = _counter("http_evictions_total", "Unused connections closed to make room.")
HTTP_CONNECTIONS_SHED = _counter(
    "http_connections_shed_total", "Connections closed for memory, by what they were doing."
)
HTTP_CONNECTION_MEMORY = _gauge(
    "http_connection_memory_bytes", "Memory of all connections when one was last closed for it."
)

SUBMISSIONS = _counter("submissions_total", "Calls to submit a job, by outcome.")
JOBS_REFUSED = _counter("jobs_refused_total", "Jobs refused for load, by queue and reason.")
RUN_STARTS = _counter("run_starts_total", "Starts of runs at workers, by result.")
RUN_ENDS = _counter("run_ends_total", "Runs that ended, by how.")
RUNS_LOST = _counter(
    "runs_lost_total", "Runs lost with a worker that restarted or was silent for too long, by how."
)
PROGRESS_REFUSALS = _counter(
    "progress_refusals_total", "Writes of job progress that the store has refused for good."
)
JOBS_GIVEN_UP = _counter("jobs_given_up_total", "Jobs failed by a decision, by reason.")
GROUP_STOPS = _counter("group_stops_total", "Groups stopped by a decision, by reason.")
OWNER_CHANGES = _counter("owner_changes_total", "Terms of ownership begun or ended here.")
CONFIGURATION_READS = _counter(
    "configuration_reads_total", "Reads of the site's configuration, by source and result."
)
ZONE_CHANGES = _counter("zone_changes_total", "Zones evacuated or returned, by change.")

CONFIGURATION_AGE = _gauge(
    "configuration_age_ms", "How long ago the configuration was known to be the latest."
)
OWNER_TOKEN = _gauge("owner_token", "Highest fencing token of an owner heard of here.")
OWNS_SITE = _gauge("owns_site", "1 if this entry host owns the site.")
WORKERS = _gauge("workers", "Workers known to the owner, by state.")
CANCELLATIONS_KEPT = _gauge(
    "cancellations_kept", "Cancellations that the owner keeps, also for jobs that don't exist."
)
ZONE_EVACUATED = _gauge(
    "zone_evacuated_ms", "How long a zone has been known to be evacuated; 0 if it isn't."
)
ZONE_RUNS = _gauge("zone_runs", "Runs that may still be active in an evacuated zone.")
WORKER_SPEEDS_KNOWN = _gauge("worker_speeds_known", "Workers of which the speed was observed.")
WORKER_SPEED_SPREAD = _gauge(
    "worker_speed_spread", "Standard deviation of the logarithms of the workers' durations."
)
LATENCY = _gauge("latency_ms", "Latency of a step in milliseconds, by percentile.")
LATENCY_COUNT = _gauge("latency_count", "How many latencies of a step have been counted.")
LIMITED_QUEUES = _gauge(
    "limited_queues", "Queues that have too much work ahead, so that jobs may be refused."
)
REQUESTS_IN_PROGRESS = _gauge("requests_in_progress", "Requests being run from here.")
JOBS = _gauge("jobs", "Known jobs, by state.")
OWNERSHIP_EPOCH = _gauge("ownership_epoch", "Epoch of the ownership record in force here.")
OWNED_SCOPES = _gauge("owned_scopes", "Scopes owned by this entry host, by kind.")
MEMBERS = _gauge("members", "Entry hosts of the ownership record.")
CONFIGURATION_NUMBER = _gauge("configuration_number", "Number of the configuration in force here.")
PLATFORM_CONNECTED = _gauge("platform_connected", "1 if the last call to the platform succeeded.")
READY = _gauge("ready", "1 if the balancer should send callers here.")


def result_label(result: Result[Any, Failure]) -> str:
    """Returns the label value for a result: "ok" or the kind of the failure."""
    return result.err_value.kind.value if isinstance(result, Err) else "ok"


class BoundedLabels:
    """Bounds the cardinality of a label whose values are chosen by callers.

    The first ``limit`` distinct values are used as they are; later ones are replaced by "other".
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._known: set[str] = set()

    def label(self, value: str) -> str:
        """Returns the label value under which to count ``value``."""
        if value not in self._known and len(self._known) < self._limit:
            self._known.add(value)
        return value if value in self._known else "other"
