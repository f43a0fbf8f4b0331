"""Decode messages of other processes; any malformed one raises the same error."""

from typing import Protocol, TypeVar

import msgspec

Message = TypeVar("Message", covariant=True)


class DecodingError(ValueError):
    """A message cannot be decoded: it is malformed, or nested too deeply."""


class Decoder(Protocol[Message]):
    """Decode one type of message."""

    def decode(self, data: bytes, /) -> Message:
        """Return the message; raise ``msgspec.DecodeError`` or ``RecursionError``."""


def decode(decoder: Decoder[Message], data: bytes) -> Message:
    """Return a message; raise ``DecodingError`` if it cannot be decoded."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DecodingError(str(error)) from error
