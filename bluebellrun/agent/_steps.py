"""The usual time between two tokens of running requests."""

MEMORY = 0.9
MUCH = 1.15


class StepTimeAverage:
    """A moving average that starts at the first time seen."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._told = 0.0

    @property
    def seconds(self) -> float:
        """Return the average in seconds, 0 while none has been seen."""
        return self._seconds

    def observe(self, seconds: float) -> None:
        """Note a time between two tokens."""
        self._seconds = self._seconds or seconds
        self._seconds += (1 - MEMORY) * (seconds - self._seconds)

    def poll_change(self) -> bool:
        """Return whether the average has changed much since this was last true."""
        if self._told / MUCH <= self._seconds <= self._told * MUCH:
            return False
        self._told = self._seconds
        return True
