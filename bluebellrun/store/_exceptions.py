"""Errors of the platform's services."""


class PlatformError(Exception):
    """The platform did not do what was asked."""


class StoreUnavailableError(PlatformError):
    """The call had no effect: it was refused, or never left this process."""


class CallRefusedError(StoreUnavailableError):
    """The call was not made: the service fails, or this process is over its part of the rate."""


class StoreAnswerLostError(PlatformError):
    """The call may have taken effect; its answer did not arrive."""


class StoreAnswerTooLongError(StoreAnswerLostError):
    """The store's answer was over its limit of bytes, so it was not read."""


class CompactedError(PlatformError):
    """A watch asked for a revision that has been compacted."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"revisions before {compact_revision} are compacted; read a snapshot")
        self.compact_revision = compact_revision


class WeightsError(PlatformError):
    """The weight store did not do what was asked."""


class WeightsBusyError(WeightsError):
    """The weight store is at its rate; try again after ``retry_after_s`` seconds."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"the weight store is at its rate; try again in {retry_after_s:.2f} s")
        self.retry_after_s = retry_after_s


class WeightsNotFoundError(WeightsError):
    """The weight store has no weights of this name."""
