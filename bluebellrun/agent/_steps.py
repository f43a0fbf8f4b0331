"""The typical time between two tokens of running requests."""

AVERAGE_DECAY = 0.9
CHANGE_RATIO = 1.15


class StepTimeAverage:
    """An exponential moving average that starts at the first observed value."""

    def __init__(self) -> None:
        self._average_s = 0.0
        self._reported_s = 0.0

    @property
    def seconds(self) -> float:
        """Return the average in seconds, 0 before the first observation."""
        return self._average_s

    def observe(self, seconds: float) -> None:
        """Add a time between two tokens."""
        self._average_s = self._average_s or seconds
        self._average_s += (1 - AVERAGE_DECAY) * (seconds - self._average_s)

    def poll_change(self) -> bool:
        """Return whether the average changed by over ``CHANGE_RATIO`` since this was last true."""
        if self._reported_s / CHANGE_RATIO <= self._average_s <= self._reported_s * CHANGE_RATIO:
            return False
        self._reported_s = self._average_s
        return True
