"""Query an agent for the fate of an attempt, over a separate connection."""

import msgspec

from bluebellrun.core import Address
from bluebellrun.http import TransportError
from bluebellrun.messages import (
    FATE_PATH,
    FateAnswer,
    FateQuery,
    decode_fate_answer,
    encode_message,
)
from bluebellrun.transport import LinkTiming, dial


async def query_fate(
    address: Address, timing: LinkTiming, query: FateQuery, timeout_s: float
) -> FateAnswer | None:
    """Return the fate of an attempt, or none if the agent gives no valid answer in time."""
    try:
        link = await dial(address, timing)
    except TransportError:
        return None
    try:
        answer = await link.call_unary(FATE_PATH, encode_message(query), timeout_s)
        return decode_fate_answer(answer)
    except (TransportError, msgspec.MsgspecError):
        return None
    finally:
        await link.close()
