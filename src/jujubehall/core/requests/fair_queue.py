"""A bounded queue with round-robin scheduling over teams."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import TeamName

MAX_QUEUED_ENTRIES = 500

Entry = TypeVar("Entry")


class FairQueue(Generic[Entry]):
    """Keeps one queue per team and serves the teams round-robin, whatever their queue lengths."""

    def __init__(self, max_entries: int = MAX_QUEUED_ENTRIES) -> None:
        self._max_entries = max_entries
        self._queues: dict[TeamName, deque[Entry]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def count_ahead_of_new_entry(self, team: TeamName) -> int:
        """Returns how many entries would be served before a new entry of ``team``."""
        own_length = len(self._queues.get(team, ()))
        other_lengths = (len(queue) for name, queue in self._queues.items() if name != team)
        return own_length + sum(min(length, own_length + 1) for length in other_lengths)

    def enqueue(self, team: TeamName, entry: Entry) -> Entry | None:
        """Adds an entry to the queue of ``team``.

        If the queue is over its limit, removes and returns the last entry of the team with the
        most queued entries, which may be the new entry. Otherwise returns None.
        """
        self._queues.setdefault(team, deque()).append(entry)
        self._length += 1
        if self._length <= self._max_entries:
            return None
        longest = max(self._queues, key=lambda name: len(self._queues[name]))
        removed = self._queues[longest].pop()
        self._on_removed(longest)
        return removed

    def remove(self, team: TeamName, entry: Entry) -> None:
        """Removes an entry if it is still queued."""
        queue = self._queues.get(team)
        if queue is not None and entry in queue:
            queue.remove(entry)
            self._on_removed(team)

    def dequeue(self, accepts: Callable[[Entry], bool]) -> Entry | None:
        """Removes and returns the first entry of the next team for which ``accepts`` is true.

        Only the first entry of each team is tried. Returns None if none of them is accepted.
        """
        for team in list(self._queues):
            first = self._queues[team][0]
            if accepts(first):
                queue = self._queues.pop(team)
                queue.popleft()
                # Reinserting the team puts it last in the round-robin order.
                self._queues[team] = queue
                self._on_removed(team)
                return first
        return None

    def _on_removed(self, team: TeamName) -> None:
        self._length -= 1
        if not self._queues[team]:
            del self._queues[team]
