"""What every long-running process needs: signals and background tasks."""

from bluebellrun.runtime._signals import StopSignals
from bluebellrun.runtime._tasks import spawn_background

__all__ = ["StopSignals", "spawn_background"]
