"""Settings of a link."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Timeouts and ping interval of a link, in seconds."""

    connect_s: float = 1.0
    ping_interval_s: float = 1.0
    ping_timeout_s: float = 2.0
