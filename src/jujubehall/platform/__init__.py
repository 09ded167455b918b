"""Interfaces to the platform and the clients that implement them."""

from __future__ import annotations
