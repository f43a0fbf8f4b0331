"""Errors of the platform's services."""


class PlatformError(Exception):
    """The platform did not do what was asked."""


class StoreUnavailableError(PlatformError):
    """The call had no effect: it was refused, or never left this process."""


class StoreAnswerLostError(PlatformError):
    """The call may have taken effect; its answer did not arrive."""


class CompactedError(PlatformError):
    """A watch asked for a revision that has been compacted."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"revisions before {compact_revision} are compacted; read a snapshot")
        self.compact_revision = compact_revision
