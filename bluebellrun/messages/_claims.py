"""Claims and settlements of idempotency keys between agents of one service."""

from enum import StrEnum

import msgspec

from bluebellrun.ledger import LedgerRecord

CLAIM_PATH = "/bluebellrun.Agent/Claim"
SETTLE_PATH = "/bluebellrun.Agent/Settle"


class ClaimVerdict(StrEnum):
    """The shard owner's decision on a claim."""

    GRANTED = "granted"
    REPLAY = "replay"
    FINISHED = "finished"
    UNSETTLED = "unsettled"
    OTHER_REQUEST = "other_request"
    DECLINED = "declined"
    EXPIRED = "expired"


class ClaimAnswer(msgspec.Struct, frozen=True):
    """The verdict on a claim, with the existing record of the key if there is one.

    For an unsettled claim, ``in_progress`` means that its outcome will be known soon.
    """

    verdict: ClaimVerdict
    record: LedgerRecord | None = None
    reason: str = ""
    in_progress: bool = False


class SettleAnswer(msgspec.Struct, frozen=True):
    """Acknowledges a settlement, which the owner writes soon afterwards."""


_ledger_record_decoder = msgspec.msgpack.Decoder(LedgerRecord)
_claim_answer_decoder = msgspec.msgpack.Decoder(ClaimAnswer)


def decode_ledger_record(data: bytes) -> LedgerRecord:
    """Decode a claim or settlement; raise ``msgspec.ValidationError`` if it is malformed."""
    return _ledger_record_decoder.decode(data)


def decode_claim_answer(data: bytes) -> ClaimAnswer:
    """Decode a claim answer; raise ``msgspec.ValidationError`` if it is malformed."""
    return _claim_answer_decoder.decode(data)
