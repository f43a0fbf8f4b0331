"""Counters, gauges and timings sent to statsd over UDP."""

import statsd

from bluebellrun.core import Address


class Metrics:
    """Send metrics to a statsd daemon, or drop them if no address is configured."""

    def __init__(self, address: Address | None, prefix: str) -> None:
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(address.ip, address.port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration given in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
