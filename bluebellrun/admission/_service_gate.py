"""Tell a service that is out of order from one that is full, and when to come back to it. Pure.

All ranks of a group refuse work while one of them is gone, and work again at the same moment.
Asking one after the other costs sends and time. While a service is out of order a single request
now and then tries it; the others are refused at once and told when it should be back.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Times in seconds.

    An outage is over once a request is taken up, or unproven after ``forgotten_s`` without a
    refusal. It usually lasts ``usual_outage_s``: a stall, then the forming of the group.
    """

    usual_outage_s: float = 2.2
    forgotten_s: float = 1.0
    probe_interval_s: float = 0.15
    least_retry_s: float = 0.6


class ServiceGate:
    """Follow the refusals of one service; times in seconds."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._since: float | None = None
        self._refused_at = 0.0
        self._probed_at = 0.0

    def out_of_order(self, now: float) -> bool:
        """Return whether the service takes up no work at all."""
        if self._since is None:
            return False
        if now - self._refused_at > self._settings.forgotten_s:
            self._since = None
            return False
        return True

    def admits(self, now: float) -> bool:
        """Return whether a request may be sent now; while out of order, as a trial."""
        if not self.out_of_order(now):
            return True
        if now - self._probed_at < self._settings.probe_interval_s:
            return False
        self._probed_at = now
        return True

    def note_outage(self, now: float) -> None:
        """Note that an upstream refused because of another one, or could not be reached."""
        if not self.out_of_order(now):
            self._since = now
        self._refused_at = now

    def note_taken_up(self) -> None:
        """Note that an upstream took up a request."""
        self._since = None

    def retry_after_s(self, now: float) -> float:
        """Return when a refused request should come back."""
        settings = self._settings
        if self._since is None:
            return settings.least_retry_s
        return max(settings.least_retry_s, self._since + settings.usual_outage_s - now)
