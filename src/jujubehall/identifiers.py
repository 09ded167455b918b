"""Identifier types shared by every package.

Each identifier is a ``NewType`` so that the type checker keeps, say, a worker's name from being
passed where a team's name is expected. At run time they are plain strings and integers.
"""

from __future__ import annotations

from typing import NewType

RequestId = NewType("RequestId", str)
"""Chosen by the caller; names one request across all its attempts."""

JobId = NewType("JobId", str)
"""Chosen by the entry host that accepts the job, or by the caller for idempotent submission."""

TeamName = NewType("TeamName", str)
WorkerName = NewType("WorkerName", str)
RackName = NewType("RackName", str)
ZoneName = NewType("ZoneName", str)
"""Names an availability zone."""

EndpointName = NewType("EndpointName", str)
EntryHostName = NewType("EntryHostName", str)

Incarnation = NewType("Incarnation", str)
"""Random, drawn at each start of a process: tells a restarted process from its predecessor."""

Epoch = NewType("Epoch", int)
"""Rises by one with each change of the ownership record; fences owners of earlier epochs."""

Version = NewType("Version", int)
"""Version of a key in the platform's key-value service; 0 stands for an absent key."""

QueueName = NewType("QueueName", str)
"""Names a queue of the site's configuration, where callers submit jobs."""

PoolName = NewType("PoolName", str)
"""Names a pool of workers that serve the same queues."""

FencingToken = NewType("FencingToken", int)
"""Drawn from the store at each election; peers refuse orders under a lower one."""

MachineName = NewType("MachineName", str)
"""Names the hardware that a worker runs on; a worker is one life of its machine."""

WaveNumber = NewType("WaveNumber", int)
"""Names a wave of upkeep that the operators have asked for."""
