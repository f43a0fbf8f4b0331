"""The kinds of upstream and the deadlines kept with them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelEngine:
    """An engine with the OpenAI-style API, which batches continuously."""


@dataclass(frozen=True, slots=True)
class PlainService:
    """A service with any HTTP API."""


UpstreamKind = ModelEngine | PlainService


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Deadlines kept with an upstream, in seconds."""

    connect_s: float = 1.0
    first_byte_s: float = 30.0
    gap_s: float = 10.0
