"""Tell a service that is out of order from one that is full, and when to come back to it. Pure.

All ranks of a group refuse work while one of them is gone, and work again at the same moment.
Asking one after the other costs sends and time. While a service is out of order a single request
now and then tries it; the others are refused at once and told when it should be back.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Times in seconds.

    An outage is taken for one when ``refusals`` upstreams in a row refuse work although they have
    free places. It is over once a request is taken up, or unproven after ``outage_expiry_s``
    without
    a refusal. It usually lasts ``typical_outage_s`` from then on: hosts come back within a few
    seconds, then the group forms again. Callers come back later than ``min_retry_s`` at least,
    and than ``min_outage_retry_s`` in an outage: many have one more try only.
    """

    refusals: int = 2
    typical_outage_s: float = 3.0
    outage_expiry_s: float = 1.0
    probe_interval_s: float = 0.15
    waiting_probe_interval_s: float = 0.45
    min_retry_s: float = 0.6
    min_outage_retry_s: float = 1.0


class ServiceGate:
    """Follow the refusals of one service; times in seconds.

    Without ``fails_together`` the upstreams fail one by one, and all requests are admitted.
    """

    def __init__(self, settings: GateSettings, fails_together: bool = True) -> None:
        self._settings = settings
        self._shares_fate = fails_together
        self._refusals = 0
        self._since: float | None = None
        self._refused_at = 0.0
        self._probed_at = 0.0

    def is_unavailable(self, now: float) -> bool:
        """Return whether the service takes up no work at all."""
        if self._since is None:
            return False
        if now - self._refused_at > self._settings.outage_expiry_s:
            self.record_accepted()
            return False
        return True

    def admits(self, now: float, waits: bool = False) -> bool:
        """Return whether a request may be sent now; while out of order, as a trial.

        One that ``waits`` is a trial only where there was none for a while.
        """
        if not self.is_unavailable(now):
            return True
        settings = self._settings
        interval_s = settings.waiting_probe_interval_s if waits else settings.probe_interval_s
        if now - self._probed_at < interval_s:
            return False
        self._probed_at = now
        return True

    def record_refusal(self, now: float) -> None:
        """Note that an upstream refused work although it has free places, or is gone."""
        if not self._shares_fate:
            return
        self._refusals += 1
        self._refused_at = now
        if self._refusals >= self._settings.refusals and self._since is None:
            self._since = now

    def record_accepted(self) -> None:
        """Note that an upstream took up a request."""
        self._since = None
        self._refusals = 0

    def retry_after_s(self, now: float) -> float:
        """Return when a refused request should come back."""
        settings = self._settings
        if self._since is None:
            return settings.min_retry_s
        return max(settings.min_outage_retry_s, self._since + settings.typical_outage_s - now)
