"""What every long-running process needs: signals and background tasks."""

import importlib
from typing import TYPE_CHECKING, Any

from bluebellrun.runtime._signals import StopSignals
from bluebellrun.runtime._tasks import spawn_background

if TYPE_CHECKING:
    from bluebellrun.runtime._security import (
        configure_link_security,
        make_caller_tls,
        warn_of_plain_links,
    )

__all__ = [
    "StopSignals",
    "configure_link_security",
    "make_caller_tls",
    "spawn_background",
    "warn_of_plain_links",
]


def __getattr__(name: str) -> Any:
    """Load the security settings at their first use: not every process has them."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}._security"), name)
