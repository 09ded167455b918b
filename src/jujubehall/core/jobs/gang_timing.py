"""Times of the gang protocol, and the bounds on a partial gang that follow from them.

A part is lost at the moment when it stops running. From there to the end of the gang's last other
part, at most this time passes:

- ``SEEN_FAILURE_BOUND_MS`` if every worker of the gang and the owner can be reached: one renewal
  that shows the failure, then one command that stops the others.
- ``UNPAUSED_OWNER_BOUND_MS`` if workers can't be reached, or if the owner dies at that very
  moment, as long as no message is held back longer than the timeout of a command.
- ``PARTIAL_GANG_BOUND_MS`` in every case, also if the owner is paused between its decision to renew
  and the sending: a renewal takes effect only before the lease has lapsed, so that it can arrive at
  most one lease after the last one, and it extends by one lease.

A worker counts its leases on its own clock; the drift of clocks over a lease is neglected.
"""

from __future__ import annotations

COMMAND_TIMEOUT_MS = 1_000
"""How long the owner waits for the answer of a worker."""

RENEWAL_INTERVAL_MS = 3_000
"""One message to each worker in this time renews all its leases and reads its inventory."""

TASK_LEASE_MS = 12_000
"""A worker stops a task this long after the last renewal that it received."""

UNSEEN_LIMIT_MS = 6_000
"""A part counts as lost if no answer to a command sent in this time showed it."""

DECISION_LIMIT_MS = 10_000
"""Reservations are dropped if the start could not be recorded in this time."""

CHECKPOINT_LIMIT_MS = 2_000
"""Parts are stopped after this time, also if not all of them were saved."""

RESEND_INTERVAL_MS = 1_000
"""How often an unanswered start or stop is sent again."""

TICK_INTERVAL_MS = 1_000
"""How often a gang is told that time has passed."""

PAUSE_MS = 3 * TICK_INTERVAL_MS
"""A longer time between two ticks means that the owner itself was paused."""

SEEN_FAILURE_BOUND_MS = RENEWAL_INTERVAL_MS + 3 * COMMAND_TIMEOUT_MS
UNPAUSED_OWNER_BOUND_MS = UNSEEN_LIMIT_MS + 2 * COMMAND_TIMEOUT_MS + TASK_LEASE_MS
PARTIAL_GANG_BOUND_MS = UNSEEN_LIMIT_MS + 2 * TASK_LEASE_MS
