"""Exceptions raised by upstream clients."""


class EngineError(Exception):
    """An upstream did not return a complete answer."""


class RequestNotSentError(EngineError):
    """No byte of the request reached the upstream, so it did not run."""


class RequestDeclinedError(EngineError):
    """A model engine answered 429 or 503: by its contract the request did not run."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the engine declined with status {status}")
        self.status = status


class UpstreamTimeoutError(EngineError):
    """The upstream sent nothing before the deadline; the request may have run."""


class AnswerBrokenError(EngineError):
    """The answer was truncated or malformed; the request may have run."""
