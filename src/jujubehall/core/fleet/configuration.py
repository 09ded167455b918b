"""The configuration of a site: queues, worker pools and teams."""

from __future__ import annotations

import msgspec

from jujubehall.identifiers import PoolName
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import TeamName


class Queue(msgspec.Struct, frozen=True):
    """A queue to which callers submit jobs.

    A request is for this queue if it is addressed to ``host`` and its path starts with
    ``path_prefix``.
    """

    name: QueueName
    host: str
    path_prefix: str
    pool: PoolName
    priority: int = 0
    """0 is the highest priority; its jobs may preempt those of all other queues."""

    max_failures: int = 1
    """Number of failed runs of a single task, or of a gang, after which its job fails."""

    objective_factor: float = msgspec.field(default=1.0, name="stretch")
    """The latency objective of a job is the duration of its longest chain of dependent steps
    multiplied by this factor, plus ``objective_ms``."""

    objective_ms: int = 0
    answer_timeout_ms: int = 0
    """Maximum time for the response to a call; 0 means the default."""

    is_public: bool = False
    """Whether calls without a known API key are accepted."""

    asks_for_advice: bool = False
    """Whether tasks may only run on workers for which the advice service has issued a ticket."""


class Team(msgspec.Struct, frozen=True):
    """A team with its API keys and the number of accelerators that it is guaranteed at any time."""

    name: TeamName
    api_keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


class SiteConfiguration(msgspec.Struct, frozen=True):
    """One version of the site configuration, as written by the operators."""

    version: int
    queues: tuple[Queue, ...] = ()
    teams: tuple[Team, ...] = ()
    guarded_pools: frozenset[PoolName] = frozenset()
    """Pools whose workers do their own admission control and refuse tasks that exceed their
    capacity."""

    spare_pools: frozenset[PoolName] = frozenset()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue for a request to ``host`` and ``path``, or None.

        If several queues match, the one with the longest path prefix is chosen.
        """
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda queue: len(queue.path_prefix), default=None)

    def queue(self, name: QueueName) -> Queue | None:
        """Returns the queue with the given name, or None if there is none."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def find_team(self, key: str) -> Team | None:
        """Returns the team that owns the API key ``key``, or None if there is none."""
        return next((team for team in self.teams if key in team.api_keys), None)
