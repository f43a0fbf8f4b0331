"""Distinguish an unavailable service from a full one, and suggest when to retry. Pure.

All ranks of a group refuse work while one of them is missing, and recover at the same moment.
Trying one after the other costs attempts and time. While a service is unavailable, a single probe
request is sent now and then; the others are refused at once with the expected recovery time.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Times in seconds.

    An outage starts when ``refusals`` upstreams in a row refuse work although they have free slots.
    It ends once a request is accepted, or after ``outage_expiry_s`` without a refusal. It typically
    lasts ``typical_outage_s`` from its detection on: hosts return within a few seconds, then the
    group forms again. Callers retry after ``min_retry_s`` at least, and after
    ``min_outage_retry_s`` in an outage, as many have only one retry.
    """

    refusals: int = 2
    typical_outage_s: float = 3.0
    outage_expiry_s: float = 1.0
    probe_interval_s: float = 0.15
    waiting_probe_interval_s: float = 0.45
    min_retry_s: float = 0.6
    min_outage_retry_s: float = 1.0


class ServiceGate:
    """Track the refusals of one service; times in seconds.

    Without ``fails_together`` the upstreams fail independently, and all requests are admitted.
    """

    def __init__(self, settings: GateSettings, fails_together: bool = True) -> None:
        self._settings = settings
        self._fails_together = fails_together
        self._refusals = 0
        self._outage_started: float | None = None
        self._refused_at = 0.0
        self._probed_at = 0.0
        self._outage_ended: float | None = None

    @property
    def outage_ended(self) -> float | None:
        """Return when the last outage ended, none if there was none."""
        return self._outage_ended

    def is_unavailable(self, now: float) -> bool:
        """Return whether the service accepts no work at all."""
        if self._outage_started is None:
            return False
        if now - self._refused_at > self._settings.outage_expiry_s:
            self.record_accepted(now)
            return False
        return True

    def admits(self, now: float, waits: bool = False) -> bool:
        """Return whether a request may be sent now; in an outage, as a probe.

        One that ``waits`` in a queue is a probe only if there was none for a longer interval.
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
        """Record that an upstream with free slots refused work, or has departed."""
        if not self._fails_together:
            return
        self._refusals += 1
        self._refused_at = now
        if self._refusals >= self._settings.refusals and self._outage_started is None:
            self._outage_started = now

    def record_accepted(self, now: float) -> None:
        """Record that an upstream accepted a request."""
        if self._outage_started is not None:
            self._outage_ended = now
        self._outage_started = None
        self._refusals = 0

    def retry_after_s(self, now: float) -> float:
        """Return after how many seconds a refused request should be retried."""
        settings = self._settings
        if self._outage_started is None:
            return settings.min_retry_s
        return max(
            settings.min_outage_retry_s, self._outage_started + settings.typical_outage_s - now
        )
