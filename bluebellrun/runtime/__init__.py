"""What every long-running process needs: signals and background tasks."""

from bluebellrun.runtime._security import (
    configure_link_security,
    make_caller_tls,
    warn_of_plain_links,
)
from bluebellrun.runtime._signals import StopSignals
from bluebellrun.runtime._tasks import spawn_background

__all__ = [
    "StopSignals",
    "configure_link_security",
    "make_caller_tls",
    "spawn_background",
    "warn_of_plain_links",
]
