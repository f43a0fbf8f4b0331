"""What became of a request: the four tagged outcomes every layer agrees on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ran:
    """The request ran; its answer was delivered or is kept."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will under this attempt.

    With ``conflict`` it must not be offered again: its idempotency key belongs to another.
    """

    reason: str
    retry_after_s: float | None = None
    conflict: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; it cannot be known yet, or ever.

    With ``retry_after_s`` asking again with the same idempotency key may tell.
    """

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AlreadyRan:
    """An earlier request with the same idempotency key ran; its answer was not kept."""

    request: str
    reason: str = "an earlier request with this Idempotency-Key ran"


Outcome = Ran | NotRun | Unknown | AlreadyRan


def outcome_name(outcome: Outcome) -> str:
    """Return the name used for an outcome on the wire, in logs and in metrics."""
    match outcome:
        case Ran():
            return "ran"
        case NotRun():
            return "not_run"
        case Unknown():
            return "unknown"
        case AlreadyRan():
            return "already_ran"
