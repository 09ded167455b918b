"""Identifier types shared by all packages.

Each identifier is a ``NewType``, so that the type checker rejects, for example, a worker's name
where a team's name is expected. At run time they are plain strings and integers.
"""

from __future__ import annotations

from typing import NewType

RequestId = NewType("RequestId", str)
"""Chosen by the caller; identifies a request across all its attempts."""

JobId = NewType("JobId", str)
"""Chosen by the entry host that accepts the job, or by the caller for idempotent submission."""

TeamName = NewType("TeamName", str)
WorkerName = NewType("WorkerName", str)
RackName = NewType("RackName", str)
ZoneName = NewType("ZoneName", str)
"""The name of an availability zone."""

EndpointName = NewType("EndpointName", str)
EntryHostName = NewType("EntryHostName", str)

Incarnation = NewType("Incarnation", str)
"""A random value generated at each start of a process; distinguishes it from its predecessors."""

Epoch = NewType("Epoch", int)
"""Increases by one with each change of the ownership record; fences owners of earlier epochs."""

Version = NewType("Version", int)
"""The version of a key in the platform's key-value service; 0 means that the key is absent."""

QueueName = NewType("QueueName", str)
"""The name of a queue in the site's configuration, to which callers submit jobs."""

PoolName = NewType("PoolName", str)
"""The name of a pool of workers that serve the same queues."""

FencingToken = NewType("FencingToken", int)
"""Obtained from the store at each election; peers reject commands with a lower token."""

MachineName = NewType("MachineName", str)
"""The name of the hardware that a worker runs on.

A worker is one incarnation of its machine, from one start of the machine to the next.
"""

WaveNumber = NewType("WaveNumber", int)
"""The number of a maintenance wave that the operators have ordered."""
