"""The memory that a process may hold for its callers and peers."""

from bluebellrun.conf import ProcessSettings
from bluebellrun.http import MemoryGate, memory_settings

MEGABYTE = 1_000_000


def make_memory(settings: ProcessSettings) -> MemoryGate:
    """Return the memory budget of a process, without a bound if its settings give none."""
    return MemoryGate(memory_settings(int(settings.memory_mb * MEGABYTE)))
