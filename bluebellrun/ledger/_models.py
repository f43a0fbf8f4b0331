"""Records of the ledger, and what it decides about a claim."""

from dataclasses import dataclass
from enum import StrEnum


class ClaimState(StrEnum):
    """What is known of a claimed key."""

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class StoredResult:
    """A small answer that is replayed to a caller who repeats the key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """The newest state of one key; a later record of a key replaces an earlier one.

    ``key`` and ``fingerprint`` are digests; ``claimed_ms`` is milliseconds since the epoch.
    ``attempt`` ran, or was about to run, at ``upstream`` in the life named by ``incarnation``.
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
    """Bounds of one shard; sizes in bytes and records, times in milliseconds."""

    retention_ms: int = 86_400_000
    max_records: int = 50_000
    max_commit_records: int = 500
    max_commit_bytes: int = 131_072
    compact_segments: int = 64
    compact_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim is durable and belongs to this attempt, which may run now."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The key ran before and its answer was kept."""

    record: LedgerRecord
    result: StoredResult


@dataclass(frozen=True, slots=True)
class Finished:
    """The key ran before and its answer was not kept."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Another attempt claimed the key; it may be running, or have run."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class OtherRequest:
    """The key was used before with another method, target or body."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class Declined:
    """The ledger cannot take the claim now; nothing was granted."""

    reason: str


Decision = Granted | Replay | Finished | Unsettled | OtherRequest | Declined
