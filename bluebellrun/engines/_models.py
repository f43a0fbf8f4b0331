"""The kinds of upstream and their timeouts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelEngine:
    """An engine with an OpenAI-style API and continuous batching."""


@dataclass(frozen=True, slots=True)
class PlainService:
    """A service with any HTTP API."""


UpstreamKind = ModelEngine | PlainService


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Timeouts of calls to an upstream, in seconds."""

    connect_s: float = 1.0
    first_byte_s: float = 30.0
    gap_s: float = 10.0
