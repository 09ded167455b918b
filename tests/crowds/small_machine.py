"""Limits of the machine on which crowds meet an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.crowds.process_usage import MIB
from tests.crowds.process_usage import ProcessUsage
from tests.platform.adapter.entry_host_process import METRICS_PORT
from tests.platform.adapter.entry_host_process import PORT
from tests.platform.adapter.entry_host_process import READINESS_PORT

if TYPE_CHECKING:
    from tests.crowds.process_usage import Usage
    from tests.platform.adapter.entry_host_process import EntryHostProcess

MEMORY_MB = 96
DESCRIPTORS = 700
LIMITS = f"""memoryMb = {MEMORY_MB}
maxFds = {DESCRIPTORS}
"""


def usage_of(host: EntryHostProcess) -> ProcessUsage:
    ports = (PORT, READINESS_PORT, METRICS_PORT)
    return ProcessUsage(host.process.pid, [(host.ip, port) for port in ports])


def check_limits(peak: Usage) -> None:
    assert peak.memory_bytes <= MEMORY_MB * MIB, peak
    assert peak.descriptors <= DESCRIPTORS, peak
