"""Exceptions raised by clients of the external services."""


class PlatformError(Exception):
    """A call to one of the platform's services failed."""


class StoreUnavailableError(PlatformError):
    """The call had no effect: the service rejected it, or it was never sent."""


class CallRefusedError(StoreUnavailableError):
    """The call was not sent: the service is failing, or this process exceeds its rate quota."""


class StoreAnswerLostError(PlatformError):
    """The call may have taken effect, but no answer was received."""


class StoreAnswerTooLongError(StoreAnswerLostError):
    """The store's answer exceeded the size limit in bytes and was not read."""


class CompactedError(PlatformError):
    """A watch requested a revision that has been compacted."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"revisions before {compact_revision} are compacted; read a snapshot")
        self.compact_revision = compact_revision


class WeightsError(PlatformError):
    """A call to the weight store failed."""


class WeightsBusyError(WeightsError):
    """The weight store is at its rate limit; retry after ``retry_after_s`` seconds."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"the weight store is at its rate; try again in {retry_after_s:.2f} s")
        self.retry_after_s = retry_after_s


class WeightsNotFoundError(WeightsError):
    """The weight store has no weights with this name."""
