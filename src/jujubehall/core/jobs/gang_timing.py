"""Timeouts of the gang protocol and the resulting bounds on how long a gang may run partially.

A gang is partial from the moment one of its parts stops running until its last other part has
stopped. That takes at most:

- ``REACHABLE_GANG_BOUND_MS`` if the owner and every worker of the gang are reachable: one renewal
  reveals the failure, then one command stops the other parts.
- ``UNPAUSED_OWNER_BOUND_MS`` if workers are unreachable, or if the owner fails at that moment, as
  long as no message is delayed longer than the command timeout.
- ``PARTIAL_GANG_BOUND_MS`` in every case, even if the owner is paused between deciding to renew and
  sending the renewal: a renewal takes effect only before the lease has expired, so it arrives at
  most one lease duration after the previous one, and it extends the lease by one duration.

A worker measures its leases on its own clock; clock drift over one lease duration is neglected.
"""

from __future__ import annotations

COMMAND_TIMEOUT_MS = 1_000
"""Time the owner waits for a worker's response to a command."""

RENEWAL_INTERVAL_MS = 3_000
"""Interval of the message to each worker that renews all its leases and reads its inventory."""

TASK_LEASE_MS = 12_000
"""Lease duration of a task: a worker stops it this long after the last renewal received."""

PART_UNSEEN_TIMEOUT_MS = 6_000
"""A part is considered lost if no response to a command sent within this time reported it."""

RESERVATION_TIMEOUT_MS = 10_000
"""Limit on reserving all parts, and on recording the start; then reservations are released."""

CHECKPOINT_TIMEOUT_MS = 2_000
"""Parts are stopped after this time even if not all checkpoints have completed."""

RESEND_INTERVAL_MS = 1_000
"""Interval at which start and stop commands without a response are resent."""

TICK_INTERVAL_MS = 1_000
"""Interval of the ``Tick`` events sent to each gang."""

OWNER_PAUSE_THRESHOLD_MS = 3 * TICK_INTERVAL_MS
"""A longer interval between two ticks means that the owner itself was paused."""

REACHABLE_GANG_BOUND_MS = RENEWAL_INTERVAL_MS + 3 * COMMAND_TIMEOUT_MS
UNPAUSED_OWNER_BOUND_MS = PART_UNSEEN_TIMEOUT_MS + 2 * COMMAND_TIMEOUT_MS + TASK_LEASE_MS
PARTIAL_GANG_BOUND_MS = PART_UNSEEN_TIMEOUT_MS + 2 * TASK_LEASE_MS
