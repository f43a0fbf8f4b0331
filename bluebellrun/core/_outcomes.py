"""The four outcomes of a request, shared by every layer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ran:
    """The request ran; its answer was delivered or is stored."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will under this attempt.

    With ``conflict`` it must not be retried: its idempotency key belongs to another request.
    """

    reason: str
    retry_after_s: float | None = None
    conflict: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; this may never become known.

    With ``retry_after_s``, a retry with the same idempotency key may return the outcome.
    """

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AlreadyRan:
    """An earlier request with the same idempotency key ran; its answer was not stored."""

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
