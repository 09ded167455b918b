"""JSON over HTTP on ``twisted.web``: the server and client code that other packages share."""

from __future__ import annotations
