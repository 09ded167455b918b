"""Several entry hosts in one process under virtual time, over fakes of their peers."""

from __future__ import annotations
