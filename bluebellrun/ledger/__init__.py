"""Idempotency keys, claimed durably before their requests run, so that each runs at most once."""

from bluebellrun.ledger._index import ShardIndex
from bluebellrun.ledger._keys import (
    key_digest,
    key_time_ms,
    owner_of,
    request_fingerprint,
    shard_of,
)
from bluebellrun.ledger._ledger import Ledger, LedgerSettings, wall_clock_ms
from bluebellrun.ledger._log import Commit, ReadShard, ShardLog
from bluebellrun.ledger._models import (
    ClaimState,
    Decision,
    Declined,
    Finished,
    Granted,
    LedgerLimits,
    LedgerRecord,
    OtherRequest,
    Replay,
    StoredResult,
    Unsettled,
)

__all__ = [
    "ClaimState",
    "Commit",
    "Decision",
    "Declined",
    "Finished",
    "Granted",
    "Ledger",
    "LedgerLimits",
    "LedgerRecord",
    "LedgerSettings",
    "OtherRequest",
    "ReadShard",
    "Replay",
    "ShardIndex",
    "ShardLog",
    "StoredResult",
    "Unsettled",
    "key_digest",
    "key_time_ms",
    "owner_of",
    "request_fingerprint",
    "shard_of",
    "wall_clock_ms",
]
