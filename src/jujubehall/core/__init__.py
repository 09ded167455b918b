"""The decision logic: pure functions and state machines that perform no I/O.

They take state, events and the current time, and return typed actions for the services to perform.
"""

from __future__ import annotations
