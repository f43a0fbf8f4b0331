"""What a process may use of its host: memory and descriptors."""

import resource

from bluebellrun.conf import ProcessSettings
from bluebellrun.http import MemoryGate, memory_settings

MEGABYTE = 1_000_000


def make_memory(settings: ProcessSettings) -> MemoryGate:
    """Return the memory budget of a process, without a bound if its settings give none."""
    return MemoryGate(memory_settings(int(settings.memory_mb * MEGABYTE)))


def granted_descriptors() -> int:
    """Return how many descriptors this process may have open, 0 without a bound."""
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if granted == resource.RLIM_INFINITY else granted
