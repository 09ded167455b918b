"""Job scheduling within one zone: placement, guarantees, preemption and the gang protocol."""

from __future__ import annotations
