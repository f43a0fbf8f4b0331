"""Transactions that resolve a lost_error answer by reading back a nonce."""

from collections.abc import Sequence

from bluebellrun.store._exceptions import PlatformError, StoreAnswerLostError
from bluebellrun.store._models import Compare, Put, TransactionResult
from bluebellrun.store._ports import KeyValueStore

MAX_RESOLVE_ATTEMPTS = 4


async def transact_with_nonce(
    store: KeyValueStore, compares: Sequence[Compare], puts: Sequence[Put], nonce: bytes
) -> TransactionResult:
    """Run a transaction and return whether it took effect, even if its answer is lost_error.

    One written value must contain the nonce, which no other writer uses, and its key must be
    among the conditions, so that the transaction takes effect at most once when it is retried.
    Raises ``ValueError`` otherwise, and ``StoreAnswerLostError`` if the outcome stays unknown.
    """
    nonce_put = _find_nonce_put(compares, puts, nonce)
    try:
        return await store.transact(compares, puts)
    except StoreAnswerLostError as error:
        lost_error = error
    for _ in range(MAX_RESOLVE_ATTEMPTS):
        try:
            return await _resolve(store, compares, puts, nonce_put, nonce)
        except PlatformError as error:
            lost_error = StoreAnswerLostError(
                f"the write of {nonce_put.key} is not settled: {error}"
            )
    raise lost_error


async def _resolve(
    store: KeyValueStore,
    compares: Sequence[Compare],
    puts: Sequence[Put],
    nonce_put: Put,
    nonce: bytes,
) -> TransactionResult:
    """Look for the nonce; if it is absent, retry the transaction and look once more."""
    found = await _read_nonce(store, nonce_put, nonce)
    if found is not None:
        return found
    result = await store.transact(compares, puts)
    if result.succeeded:
        return result
    return await _read_nonce(store, nonce_put, nonce) or result


async def _read_nonce(
    store: KeyValueStore, nonce_put: Put, nonce: bytes
) -> TransactionResult | None:
    """Return a successful result if the nonce is stored, or none."""
    item = (await store.get(nonce_put.key)).get(nonce_put.key)
    if item is None or nonce not in item.value:
        return None
    return TransactionResult(True, item.mod_revision)


def _find_nonce_put(compares: Sequence[Compare], puts: Sequence[Put], nonce: bytes) -> Put:
    """Return the write whose value contains the nonce and whose key has a condition."""
    conditional_keys = {compare.key for compare in compares}
    for put in puts:
        if put.key in conditional_keys and put.value is not None and nonce in put.value:
            return put
    raise ValueError(f"no value written to a key with a condition contains the nonce {nonce!r}")
