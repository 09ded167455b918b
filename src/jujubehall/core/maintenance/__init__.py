"""Planning of machine maintenance waves: which machines to vacate and take down next."""

from __future__ import annotations
