"""A bounded queue that serves teams in turn."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import TeamName

MAX_QUEUED = 500

Entry = TypeVar("Entry")


class FairQueue(Generic[Entry]):
    """Holds entries by team; each team in turn gives one, whatever the others have queued."""

    def __init__(self, max_queued: int = MAX_QUEUED) -> None:
        self._max_queued = max_queued
        self._teams: dict[TeamName, deque[Entry]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def ahead_of(self, team: TeamName) -> int:
        """How many entries are served before a new one of ``team``."""
        own = len(self._teams.get(team, ()))
        others = (len(queued) for name, queued in self._teams.items() if name != team)
        return own + sum(min(queued, own + 1) for queued in others)

    def add(self, team: TeamName, entry: Entry) -> Entry | None:
        """Queues an entry.

        Returns the entry that has to leave a full queue: the last one of the team that has most
        queued, which may be the new entry.
        """
        self._teams.setdefault(team, deque()).append(entry)
        self._length += 1
        if self._length <= self._max_queued:
            return None
        longest = max(self._teams, key=lambda name: len(self._teams[name]))
        dropped = self._teams[longest].pop()
        self._on_removed(longest)
        return dropped

    def remove(self, team: TeamName, entry: Entry) -> None:
        """Takes an entry out, if it is still queued."""
        queued = self._teams.get(team)
        if queued is not None and entry in queued:
            queued.remove(entry)
            self._on_removed(team)

    def take(self, accepts: Callable[[Entry], bool]) -> Entry | None:
        """Takes the first entry that ``accepts`` agrees to, beginning with the team in turn."""
        for team in list(self._teams):
            first = self._teams[team][0]
            if accepts(first):
                queued = self._teams.pop(team)
                queued.popleft()
                # The team that was served goes to the end of the turn.
                self._teams[team] = queued
                self._on_removed(team)
                return first
        return None

    def _on_removed(self, team: TeamName) -> None:
        self._length -= 1
        if not self._teams[team]:
            del self._teams[team]
