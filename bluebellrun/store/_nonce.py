"""Settle a compare-and-swap whose answer was lost, by reading back a nonce."""

from collections.abc import Sequence

from bluebellrun.store._exceptions import PlatformError, StoreAnswerLostError
from bluebellrun.store._models import Compare, Put, TransactionResult
from bluebellrun.store._ports import KeyValueStore

MAX_ROUNDS = 4


async def transact_with_nonce(
    store: KeyValueStore, compares: Sequence[Compare], puts: Sequence[Put], nonce: bytes
) -> TransactionResult:
    """Do a transaction and return whether it took effect, even when its answer is lost.

    One written value must contain the nonce, which no other writer uses, and its key must be
    among the conditions: then a repeated try can take effect once at most. Raises ``ValueError``
    otherwise, ``StoreAnswerLostError`` when the outcome stays unknown.
    """
    marked = _marked_put(compares, puts, nonce)
    try:
        return await store.transact(compares, puts)
    except StoreAnswerLostError as error:
        lost = error
    for _ in range(MAX_ROUNDS):
        try:
            return await _settle(store, compares, puts, marked, nonce)
        except PlatformError as error:
            lost = StoreAnswerLostError(f"the write of {marked.key} is not settled: {error}")
    raise lost


async def _settle(
    store: KeyValueStore,
    compares: Sequence[Compare],
    puts: Sequence[Put],
    marked: Put,
    nonce: bytes,
) -> TransactionResult:
    """Look for the nonce; if it is not there, do the transaction again and look once more."""
    won = await _find(store, marked, nonce)
    if won is not None:
        return won
    result = await store.transact(compares, puts)
    if result.succeeded:
        return result
    return await _find(store, marked, nonce) or result


async def _find(store: KeyValueStore, marked: Put, nonce: bytes) -> TransactionResult | None:
    """Return the success that the stored nonce proves, or none."""
    item = (await store.get(marked.key)).get(marked.key)
    if item is None or nonce not in item.value:
        return None
    return TransactionResult(True, item.mod_revision)


def _marked_put(compares: Sequence[Compare], puts: Sequence[Put], nonce: bytes) -> Put:
    """Return the write that carries the nonce under a condition on its own key."""
    guarded = {compare.key for compare in compares}
    for put in puts:
        if put.key in guarded and put.value is not None and nonce in put.value:
            return put
    raise ValueError(f"no guarded write carries the nonce {nonce!r}; put it in a value")
