"""What the quarantine decides about one request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Allowed:
    """No part of the prompt is suspected."""


@dataclass(frozen=True, slots=True)
class Pending:
    """Reports of a crash, or a probe of one of its parts, are awaited: decide again soon."""


@dataclass(frozen=True, slots=True)
class Probe:
    """The request may be sent as the only one with these suspected parts."""

    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is not sent.

    ``crashes`` upstreams ended under ``part``, which is probed again in ``retry_after_s`` seconds.
    """

    part: str
    crashes: int
    retry_after_s: float


Decision = Allowed | Pending | Probe | Quarantined
