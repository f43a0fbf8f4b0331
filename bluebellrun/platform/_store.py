"""Client of the platform's key-value store, an implementation of ``KeyValueStore``."""

import base64
import binascii
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import curio
import msgspec

from bluebellrun.core import Address, DecodingError, decode, is_whole_number
from bluebellrun.http import (
    AnswerTooLongError,
    ClientTimeouts,
    ConnectError,
    Headers,
    HttpClient,
    TransportError,
    header_value,
)
from bluebellrun.platform._names import (
    STORE_ERA,
    STORE_KEEP_PATH,
    STORE_KEY_PATH,
    STORE_LEASE_END_PATH,
    STORE_LEASE_PATH,
    STORE_RANGE_PATH,
    STORE_TRANSACTION_PATH,
    STORE_WATCH_PATH,
)
from bluebellrun.store import (
    CompactedError,
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StoreAnswerLostError,
    StoreAnswerTooLongError,
    StorePosition,
    StoreTimeouts,
    StoreUnavailableError,
    TransactionResult,
    WatchEvent,
    WatchTiming,
)
from bluebellrun.telemetry import get_logger

OK = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412
NO_EFFECT_STATUSES = (429, 503)
CONNECT_SHARE = 0.5
MAX_LOGGED_CHARACTERS = 60
# Bytes of all pages that are read together: the configuration and the registrations of the largest
# fleets take a few megabytes.
MAX_SNAPSHOT_BYTES = 33_554_432
MAX_ERA_DIGITS = 12
JSON_HEADERS = [("content-type", "application/json")]

_log = get_logger("platform-store")


class _Item(msgspec.Struct):
    """A key as sent by the store; ``value`` is base64 and absent from a tombstone."""

    key: str
    rev: int = 0
    value: str = ""
    created: int = 0
    lease: int = 0
    tombstone: bool = False
    store_revision: int = 0


class _Range(msgspec.Struct):
    """One page of a range."""

    items: list[_Item]
    store_revision: int
    has_more: bool = False


class _Changes(msgspec.Struct):
    """What a watch returns."""

    events: list[_Item]
    store_revision: int


class _Written(msgspec.Struct):
    """The revision of a transaction."""

    rev: int = 0


class _Lease(msgspec.Struct):
    """A lease; the answer to a renewal contains only its time to live."""

    ttl_ms: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store, and its era, 0 while no answer has named one."""

    status: int
    data: bytes
    era: int


_item = msgspec.json.Decoder(_Item)
_range = msgspec.json.Decoder(_Range)
_changes = msgspec.json.Decoder(_Changes)
_written = msgspec.json.Decoder(_Written)
_lease = msgspec.json.Decoder(_Lease)


def _value(text: str) -> bytes:
    """Decode a base64 value; return text that is not base64 as its own bytes."""
    try:
        return base64.b64decode(text)
    except (binascii.Error, ValueError):
        return text.encode()


def _key_value(item: _Item) -> KeyValue:
    """Convert a key to the internal type."""
    return KeyValue(item.key, _value(item.value), item.rev, item.created, item.lease)


class PlatformStore:
    """A client of the platform's store."""

    def __init__(
        self, address: Address, timeouts: StoreTimeouts, watch_timing: WatchTiming | None = None
    ) -> None:
        self._timeouts = timeouts
        self._watch_timing = watch_timing or WatchTiming()
        limits = ClientTimeouts(timeouts.call_s * CONNECT_SHARE, timeouts.call_s, timeouts.call_s)
        self._client = HttpClient(address, limits)
        self._calls = 0
        self._era = 0

    @property
    def era(self) -> int:
        """Return the store's latest era, 0 before the first answer that names one."""
        return self._era

    @property
    def calls(self) -> int:
        """Return how many calls have been made."""
        return self._calls

    async def get(self, key: str) -> Snapshot:
        """Read one key."""
        answer = await self._read(f"{STORE_KEY_PATH}?{urlencode({'key': key})}")
        if answer.status == NOT_FOUND:
            return Snapshot((), 0, answer.era)
        item = self._decode(_item, answer)
        return Snapshot((_key_value(item),), item.store_revision, answer.era)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix; the revision is that of the first page.

        Raises ``StoreUnavailableError`` if the store is restored between two pages, and
        ``StoreAnswerTooLongError`` if the pages do not end or are over ``MAX_SNAPSHOT_BYTES``.
        """
        items: list[KeyValue] = []
        revision, era, size = 0, None, 0
        query = {"prefix": prefix}
        while True:
            answer = await self._read(f"{STORE_RANGE_PATH}?{urlencode(query)}")
            page = self._decode(_range, answer)
            if era not in (None, answer.era):
                raise StoreUnavailableError("the store was restored while its keys were read")
            era = answer.era
            items += map(_key_value, page.items)
            revision = revision or page.store_revision
            if not page.has_more or not page.items:
                return Snapshot(tuple(items), revision, era)
            size += len(answer.data)
            last = page.items[-1].key
            if size > MAX_SNAPSHOT_BYTES or last <= query.get("after", ""):
                raise StoreAnswerTooLongError(f"pages of {prefix!r} do not end: {size} bytes")
            query["after"] = last

    async def read_revisions(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix."""
        return await self.read_prefix(prefix)

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        """Apply all writes if all conditions hold, otherwise none."""
        body = {
            "expected": [{"key": item.key, "rev": item.mod_revision} for item in compares],
            "set_keys": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
                if put.value is not None
            ],
            "delete_keys": [put.key for put in puts if put.value is None],
        }
        answer = await self._call("POST", STORE_TRANSACTION_PATH, body)
        if answer.status == CONDITION_FAILED:
            return TransactionResult(False, 0, answer.era)
        return TransactionResult(True, self._decode(_written, answer).rev, answer.era)

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        answer = await self._call("POST", STORE_LEASE_PATH, {"ttl_ms": int(ttl_s * 1000)})
        return self._decode(_lease, answer).lease

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 means it has expired."""
        answer = await self._call("POST", f"{STORE_KEEP_PATH}{lease}", {})
        if answer.status == NOT_FOUND:
            return 0
        return self._decode(_lease, answer).ttl_ms // 1000

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; keys bound to it are deleted."""
        await self._call("DELETE", f"{STORE_LEASE_END_PATH}{lease}", None)

    async def watch(self, prefix: str, from_revision: int) -> "PlatformWatch":
        """Watch changes below a prefix, starting at a revision of the current era."""
        watch = PlatformWatch(self, prefix, from_revision - 1, self._watch_timing)
        await watch.start()
        return watch

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float, era: int = 0, call_s: float | None = None
    ) -> _Changes:
        """Return the changes after a revision of an era; empty if there are none in ``wait_s``.

        Era 0 stands for whatever era the store is in. The call is given up after ``call_s``, by
        default as long as any other after its wait.

        Raises ``CompactedError`` if all keys have to be read again: the history was compacted, the
        store was restored, or there are too many changes for one answer.
        """
        wait_ms = max(1, int(wait_s * 1000))
        query = urlencode({"prefix": prefix, "after": after, "wait_ms": wait_ms})
        target = f"{STORE_WATCH_PATH}?{query}"
        try:
            answer = await self._read(target, call_s or wait_s + self._timeouts.call_s)
        except StoreAnswerTooLongError as error:
            _log.warning("watch answer too long, reading all keys", after=after, reason=str(error))
            raise CompactedError(after) from error
        if era and answer.era != era:
            _log.info(
                "store was restored, reading all keys",
                era=answer.era,
                known_era=era,
                known_revision=after,
            )
            raise CompactedError(after)
        if answer.status == GONE:
            raise CompactedError(after)
        return self._decode(_changes, answer)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _read(self, target: str, timeout_s: float | None = None) -> _Answer:
        """Make a read-only call; a lost answer only means that the store is unavailable."""
        try:
            return await self._call("GET", target, None, timeout_s)
        except StoreAnswerTooLongError:
            raise
        except StoreAnswerLostError as error:
            raise StoreUnavailableError(str(error)) from error

    async def _call(
        self, method: str, target: str, body: Any, timeout_s: float | None = None
    ) -> _Answer:
        """Make one call and return its answer.

        Raises ``StoreUnavailableError`` if the call had no effect, ``StoreAnswerLostError`` if it
        may have had one, and ``StoreAnswerTooLongError`` for an oversized answer.
        """
        self._calls += 1
        data = b"" if body is None else msgspec.json.encode(body)
        headers = JSON_HEADERS if data else []
        timeout_s = self._timeouts.call_s if timeout_s is None else timeout_s
        try:
            async with curio.timeout_after(timeout_s):
                status, answer_headers, data_received = await self._client.fetch_with_headers(
                    method, target, headers, data, timeout_s
                )
        except curio.TaskTimeout:
            await self._client.close()
            raise StoreAnswerLostError(f"no answer to {target} within {timeout_s} s") from None
        except ConnectError as error:
            raise StoreUnavailableError(str(error)) from error
        except AnswerTooLongError as error:
            await self._client.close()
            raise StoreAnswerTooLongError(f"{target}: {error}") from error
        except TransportError as error:
            await self._client.close()
            raise StoreAnswerLostError(str(error)) from error
        self._record_era(answer_headers, target)
        if status in NO_EFFECT_STATUSES:
            raise StoreUnavailableError(f"the store answered {status} to {target}")
        return _Answer(status, data_received, self._era)

    def _record_era(self, headers: Headers, target: str) -> None:
        """Record the store's era; it rises when the store comes back from an older copy.

        Raises ``StoreAnswerLostError`` for a late answer of an earlier era: what it says is gone.
        """
        text = header_value(headers, STORE_ERA)
        if text is None:
            return
        if not is_whole_number(text) or len(text) > MAX_ERA_DIGITS:
            _log.warning("store era ignored", value=text[:MAX_LOGGED_CHARACTERS])
            return
        era = int(text)
        if era < self._era:
            raise StoreAnswerLostError(f"{target} was answered in era {era}, before {self._era}")
        if era > self._era:
            _log.info("store era", era=era, before=self._era)
            self._era = era

    def _decode(self, decoder: Any, answer: _Answer) -> Any:
        """Decode an answer; raise if its status is not 200 or it is malformed."""
        if answer.status != OK:
            raise StoreUnavailableError(
                f"the store answered {answer.status}: {answer.data[:200]!r}"
            )
        try:
            return decode(decoder, answer.data)
        except DecodingError as error:
            raise StoreAnswerLostError(f"the store's answer cannot be read: {error}") from error


class PlatformWatch:
    """A watch implemented by long polling."""

    def __init__(self, store: PlatformStore, prefix: str, after: int, timing: WatchTiming) -> None:
        self._store = store
        self._timing = timing
        self._prefix = prefix
        self._after = StorePosition(store.era, after)
        self._pending: list[WatchEvent] = []
        self._changed = False

    async def start(self) -> None:
        """Poll once without waiting, to check that the store answers and has the history needed."""
        self._pending = await self._poll(0.0)

    async def next(self) -> list[WatchEvent]:
        """Return the next changes in order; an empty list if the wait ends without any.

        After changes the next call waits for ``batch_delay_s``, so that a burst takes few calls.
        """
        if self._changed:
            await curio.sleep(self._timing.batch_delay_s)
        events, self._pending = self._pending, []
        if not events:
            events = await self._poll(self._timing.wait_s, self._timing.call_s)
        self._changed = bool(events)
        return events

    async def _poll(self, wait_s: float, call_s: float | None = None) -> list[WatchEvent]:
        """Poll for changes since the last poll."""
        changes = await self._store.wait_for_changes(
            self._prefix, self._after.revision, wait_s, self._after.era, call_s
        )
        revision = max(self._after.revision, changes.store_revision)
        self._after = StorePosition(self._after.era or self._store.era, revision)
        return [_watch_event(item) for item in changes.events]

    async def close(self) -> None:
        """End the watch; a pending call is cancelled together with its task."""


def _watch_event(item: _Item) -> WatchEvent:
    """Convert a change to the internal type."""
    return WatchEvent(item.key, None if item.tombstone else _value(item.value), item.rev)
