"""Errors of exchanging messages with a peer."""


class TransportError(Exception):
    """A message could not be exchanged with a peer."""


class ConnectError(TransportError):
    """No connection was made, so no byte of the message left this process.

    ``refused`` tells that the peer's host refused it: no process listens at the address.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class NotSentError(TransportError):
    """The caller withdrew the request while it waited for a connection; no byte of it was sent."""


class ConnectionLostError(TransportError):
    """The connection ended after some of the message may have left this process.

    ``ended_by_peer`` tells that the peer closed or reset it, not that it fell silent.
    """

    def __init__(self, reason: str, ended_by_peer: bool = False) -> None:
        super().__init__(reason)
        self.ended_by_peer = ended_by_peer


class PeerTimeoutError(TransportError):
    """The peer did not send or take bytes before the deadline."""


class BadResponseError(TransportError):
    """The peer's bytes do not follow the protocol."""


class AnswerTooLongError(BadResponseError):
    """An answer, or a part of it that has to be kept, is over its limit of bytes."""
