"""Errors of exchanging messages with a peer."""


class TransportError(Exception):
    """A message could not be exchanged with a peer."""


class ConnectError(TransportError):
    """No connection was made, so no byte of the message left this process."""


class ConnectionLostError(TransportError):
    """The connection ended after some of the message may have left this process."""


class PeerTimeoutError(TransportError):
    """The peer did not send or take bytes before the deadline."""


class BadResponseError(TransportError):
    """The peer's bytes do not follow the protocol."""


class AnswerTooLongError(BadResponseError):
    """An answer, or a part of it that has to be kept, is over its limit of bytes."""
