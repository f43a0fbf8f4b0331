"""Ledger records, limits and decisions about claims."""

from dataclasses import dataclass
from enum import StrEnum


class ClaimState(StrEnum):
    """The state of a claimed key."""

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class StoredResult:
    """A small answer, stored to be replayed to a caller that repeats the key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """The newest state of one key; a later record of a key replaces an earlier one.

    ``key`` and ``fingerprint`` are digests; ``claimed_ms`` is milliseconds since the epoch.
    ``attempt`` ran, or was about to run, at the given ``incarnation`` of ``upstream``.
    """

    key: str
    fingerprint: str
    request: str
    attempt: str
    upstream: str
    incarnation: str
    claimed_ms: int
    state: ClaimState = ClaimState.CLAIMED
    result: StoredResult | None = None


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of one shard; sizes in bytes or records, times in milliseconds."""

    retention_ms: int = 86_400_000
    max_records: int = 50_000
    max_commit_records: int = 500
    max_commit_bytes: int = 131_072
    compact_segments: int = 64
    compact_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim is durable and held by this attempt, which may run now."""


@dataclass(frozen=True, slots=True)
class Replay:
    """A request with this key has run, and its answer is stored."""

    record: LedgerRecord
    result: StoredResult


@dataclass(frozen=True, slots=True)
class Finished:
    """A request with this key has run, but its answer was not stored."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Another attempt has claimed the key; it may be running or may have run."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class OtherRequest:
    """The key was used before for a request with another method, target or body."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class Declined:
    """The ledger cannot process the claim now; nothing was granted."""

    reason: str


Decision = Granted | Replay | Finished | Unsettled | OtherRequest | Declined
