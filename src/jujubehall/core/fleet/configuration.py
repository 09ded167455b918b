"""What the operators of a site configure: queues, pools of workers and teams."""

from __future__ import annotations

import msgspec

from jujubehall.identifiers import PoolName
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import TeamName


class Queue(msgspec.Struct, frozen=True):
    """Where callers submit jobs: requests for ``host`` whose path begins with ``path_prefix``."""

    name: QueueName
    host: str
    path_prefix: str
    pool: PoolName
    priority: int = 0
    """0 is the most urgent and may preempt the others."""

    max_failures: int = 1
    """A job fails once one of its tasks, or gangs, has failed this often."""

    stretch: float = 1.0
    """The objective is this many times the longest chain of work, plus ``objective_ms``."""

    objective_ms: int = 0
    answer_timeout_ms: int = 0
    is_public: bool = False
    asks_for_advice: bool = False


class Team(msgspec.Struct, frozen=True):
    """A team with its keys and the accelerators that it can have at any moment."""

    name: TeamName
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


class SiteConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration, as the operators wrote it."""

    version: int
    queues: tuple[Queue, ...] = ()
    teams: tuple[Team, ...] = ()
    guarded_pools: frozenset[PoolName] = frozenset()
    """Pools whose workers refuse by themselves what does not fit."""

    spare_pools: frozenset[PoolName] = frozenset()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """The queue of a call: its host, and the longest prefix that the path begins with."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda queue: len(queue.path_prefix), default=None)

    def queue(self, name: QueueName) -> Queue | None:
        """The queue of a given name."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def find_team(self, key: str) -> Team | None:
        """The team that holds ``key``."""
        return next((team for team in self.teams if key in team.keys), None)
