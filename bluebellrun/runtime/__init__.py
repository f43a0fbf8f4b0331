"""Shared parts of long-running processes: signals, background tasks and TLS setup."""

from typing import TYPE_CHECKING

from bluebellrun.core import load_at_first_use
from bluebellrun.runtime._program import run_program
from bluebellrun.runtime._signals import ReceivedSignal, StopSignals
from bluebellrun.runtime._tasks import spawn_background

if TYPE_CHECKING:
    from bluebellrun.runtime._resources import granted_descriptors, make_memory
    from bluebellrun.runtime._security import (
        configure_link_security,
        make_caller_tls,
        warn_about_plaintext_links,
    )

_LOADED_AT_FIRST_USE = {
    "configure_link_security": "_security",
    "make_caller_tls": "_security",
    "granted_descriptors": "_resources",
    "make_memory": "_resources",
    "warn_about_plaintext_links": "_security",
}

__all__ = [
    "ReceivedSignal",
    "StopSignals",
    "configure_link_security",
    "granted_descriptors",
    "make_caller_tls",
    "make_memory",
    "run_program",
    "spawn_background",
    "warn_about_plaintext_links",
]

# Imported on first use: not every process has settings of TLS, or of this product's own set-up.
__getattr__ = load_at_first_use(__name__, _LOADED_AT_FIRST_USE)
