"""Claims and settlements of idempotency keys between agents of one service."""

from enum import StrEnum

import msgspec

from bluebellrun.ledger import LedgerRecord

CLAIM_PATH = "/bluebellrun.Agent/Claim"
SETTLE_PATH = "/bluebellrun.Agent/Settle"


class ClaimVerdict(StrEnum):
    """What the owner of a shard decided about a claim."""

    GRANTED = "granted"
    REPLAY = "replay"
    FINISHED = "finished"
    UNSETTLED = "unsettled"
    OTHER_REQUEST = "other_request"
    DECLINED = "declined"
    EXPIRED = "expired"


class ClaimAnswer(msgspec.Struct, frozen=True):
    """A decision, with the earlier record of the key where there is one.

    ``in_progress`` tells of an unsettled claim that its end will be known soon.
    """

    verdict: ClaimVerdict
    record: LedgerRecord | None = None
    reason: str = ""
    in_progress: bool = False


class SettleAnswer(msgspec.Struct, frozen=True):
    """The owner has taken a settlement; it is written soon."""


_record_decoder = msgspec.msgpack.Decoder(LedgerRecord)
_answer_decoder = msgspec.msgpack.Decoder(ClaimAnswer)


def decode_ledger_record(data: bytes) -> LedgerRecord:
    """Read a claim or settlement; raise ``msgspec.ValidationError`` if it is malformed."""
    return _record_decoder.decode(data)


def decode_claim_answer(data: bytes) -> ClaimAnswer:
    """Read a decision; raise ``msgspec.ValidationError`` if it is malformed."""
    return _answer_decoder.decode(data)
