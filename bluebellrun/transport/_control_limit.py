"""How many control frames a peer may send on a link. Pure."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControlLimitSettings:
    """Bounds on frames that carry no message, such as pings and resets.

    A peer sends a ping a second and resets the calls that it gives up.
    """

    burst: int = 1_000
    per_second: float = 200.0


class ControlLimit:
    """Counts the control frames of one link. Times in seconds."""

    def __init__(self, now: float, settings: ControlLimitSettings | None = None) -> None:
        self._settings = settings or ControlLimitSettings()
        self._left = float(self._settings.burst)
        self._counted_at = now

    def allow(self, now: float) -> bool:
        """Count one frame; return whether the peer may send it."""
        settings = self._settings
        regained = (now - self._counted_at) * settings.per_second
        self._left = min(settings.burst, self._left + regained) - 1
        self._counted_at = now
        return self._left >= 0
