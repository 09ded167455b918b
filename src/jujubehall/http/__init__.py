"""JSON over HTTP on ``twisted.web``, shared by the packages of the peers that speak it."""

from __future__ import annotations
