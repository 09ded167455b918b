"""Pure decisions: state, event and time in, typed actions out; no input or output."""

from __future__ import annotations
