"""The usual time between two tokens of running requests."""

AVERAGE_DECAY = 0.9
CHANGE_RATIO = 1.15


class StepTimeAverage:
    """A moving average that starts at the first time seen."""

    def __init__(self) -> None:
        self._average_s = 0.0
        self._reported_s = 0.0

    @property
    def seconds(self) -> float:
        """Return the average in seconds, 0 while none has been seen."""
        return self._average_s

    def observe(self, seconds: float) -> None:
        """Note a time between two tokens."""
        self._average_s = self._average_s or seconds
        self._average_s += (1 - AVERAGE_DECAY) * (seconds - self._average_s)

    def poll_change(self) -> bool:
        """Return whether the average has changed much since this was last true."""
        if self._reported_s / CHANGE_RATIO <= self._average_s <= self._reported_s * CHANGE_RATIO:
            return False
        self._reported_s = self._average_s
        return True
