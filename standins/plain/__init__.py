"""A stand-in for a plain service, which counts its runs by idempotency key."""

from standins.plain._app import PlainApp

__all__ = ["PlainApp"]
