"""Errors of links between processes."""

from bluebellrun.http import TransportError


class LinkLostError(TransportError):
    """A link was closed, failed or timed out, or a call on it was aborted."""


class CallError(TransportError):
    """The peer ended a call with an error status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"call failed with status {status}: {message}")
        self.status = status
        self.message = message
