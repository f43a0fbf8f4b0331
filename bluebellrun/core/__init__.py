"""Identifiers, clocks, outcomes and runtime invariants shared by every layer."""

from bluebellrun.core._clock import BootClock, Clock, ManualClock, MonotonicClock, UnixClock
from bluebellrun.core._decoding import DecodingError, decode
from bluebellrun.core._identifiers import (
    Address,
    AttemptId,
    Incarnation,
    RequestId,
    attempt_id,
    is_whole_number,
    new_incarnation,
    new_request_id,
    parse_address,
)
from bluebellrun.core._invariants import InvariantError, Invariants, invariants
from bluebellrun.core._lazy import load_at_first_use
from bluebellrun.core._outcomes import AlreadyRan, NotRun, Outcome, Ran, Unknown, outcome_name
from bluebellrun.core._token_bucket import TokenBucket

__all__ = [
    "Address",
    "AlreadyRan",
    "AttemptId",
    "BootClock",
    "Clock",
    "DecodingError",
    "Incarnation",
    "InvariantError",
    "Invariants",
    "ManualClock",
    "MonotonicClock",
    "NotRun",
    "Outcome",
    "Ran",
    "RequestId",
    "TokenBucket",
    "UnixClock",
    "Unknown",
    "attempt_id",
    "decode",
    "invariants",
    "is_whole_number",
    "load_at_first_use",
    "new_incarnation",
    "new_request_id",
    "outcome_name",
    "parse_address",
]
