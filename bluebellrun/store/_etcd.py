"""Key-value store client for the JSON gateway of the public etcd v3 API.

On the wire, keys and values are base64 and 64-bit integers are strings.
"""

import base64
import json
from collections.abc import Sequence
from typing import Any

import curio

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    ConnectError,
    HttpClient,
    HttpResponse,
    TransportError,
)
from bluebellrun.store._exceptions import (
    CompactedError,
    PlatformError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from bluebellrun.store._models import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StoreTimeouts,
    TransactionResult,
    WatchEvent,
)

HTTP_OK = 200
CONNECT_TIMEOUT_FRACTION = 0.5
JSON_HEADERS = [("content-type", "application/json")]
HTTP_SERVER_ERROR = 500
UNKNOWN_EFFECT_MESSAGES = (b"timed out", b"leader changed", b"deadline exceeded", b"stopped")
WATCH_READ_TIMEOUT_S = 3600.0
# One line of a watch holds the changes of a whole transaction, at most a few megabytes.
MAX_LINE_BYTES = 16_777_216


def _encode(text: str | bytes) -> str:
    """Encode text or bytes as base64."""
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode(text: str) -> bytes:
    """Decode base64 text to bytes."""
    return base64.b64decode(text)


def _prefix_end(prefix: str) -> bytes:
    """Return the smallest key that sorts after all keys with the prefix."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _decode_key_value(item: dict[str, Any]) -> KeyValue:
    """Decode a key-value pair from its wire format."""
    return KeyValue(
        key=_decode(item["key"]).decode(),
        value=_decode(item.get("value", "")),
        mod_revision=int(item.get("mod_revision", 0)),
        create_revision=int(item.get("create_revision", 0)),
        lease=int(item.get("lease", 0)),
    )


class EtcdStore:
    """A client of the key-value service; see ``KeyValueStore`` for the errors raised."""

    def __init__(self, address: Address, timeouts: StoreTimeouts) -> None:
        self._timeouts = timeouts
        connect_s = timeouts.call_s * CONNECT_TIMEOUT_FRACTION
        limits = ClientTimeouts(connect_s, timeouts.call_s, timeouts.call_s)
        self._client = HttpClient(address, limits)
        self._calls = 0

    @property
    def calls(self) -> int:
        """Return how many calls have been made."""
        return self._calls

    @property
    def era(self) -> int:
        """Return 0: this service names no eras."""
        return 0

    async def get(self, key: str) -> Snapshot:
        """Read one key."""
        return self._decode_snapshot(await self._read("/v3/kv/range", {"key": _encode(key)}))

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys with a prefix."""
        query = {"key": _encode(prefix), "range_end": _encode(_prefix_end(prefix))}
        return self._decode_snapshot(await self._read("/v3/kv/range", query))

    async def read_revisions(self, prefix: str) -> Snapshot:
        """Read all keys with a prefix, without their values."""
        query = {"key": _encode(prefix), "range_end": _encode(_prefix_end(prefix))}
        return self._decode_snapshot(await self._read("/v3/kv/range", query | {"keys_only": True}))

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        """Apply all writes atomically if all conditions hold, otherwise none."""
        body = {
            "compare": [
                {
                    "key": _encode(item.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(item.mod_revision),
                }
                for item in compares
            ],
            "success": [_encode_put(item) for item in puts],
            "failure": [],
        }
        answer = await self._call("/v3/kv/txn", body)
        revision = int(answer["header"]["revision"])
        return TransactionResult(bool(answer.get("succeeded", False)), revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 means it has expired."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer["result"].get("TTL", 0))

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, from_revision: int) -> "EtcdWatch":
        """Watch the changes of keys with a prefix, starting at a revision."""
        create = {
            "key": _encode(prefix),
            "range_end": _encode(_prefix_end(prefix)),
            "start_revision": str(from_revision),
        }
        body = json.dumps({"create_request": create}).encode()
        self._calls += 1
        try:
            response = await self._client.open("POST", "/v3/watch", JSON_HEADERS, body)
        except TransportError as error:
            raise StoreUnavailableError(str(error)) from error
        if response.status != HTTP_OK:
            await response.close()
            raise StoreUnavailableError(f"the store answered {response.status} to a watch")
        return EtcdWatch(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _read(self, target: str, body: dict[str, Any]) -> dict[str, Any]:
        """Make a read-only call; a lost answer is reported as ``StoreUnavailableError``."""
        try:
            return await self._call(target, body)
        except StoreAnswerLostError as error:
            raise StoreUnavailableError(str(error)) from error

    async def _call(self, target: str, body: dict[str, Any]) -> dict[str, Any]:
        """Make one call and return the decoded JSON answer."""
        self._calls += 1
        data = json.dumps(body).encode()
        try:
            async with curio.timeout_after(self._timeouts.call_s):
                status, data = await self._client.fetch("POST", target, JSON_HEADERS, data)
        except curio.TaskTimeout:
            await self._client.close()
            raise StoreAnswerLostError(
                f"no answer to {target} within {self._timeouts.call_s} s"
            ) from None
        except ConnectError as error:
            raise StoreUnavailableError(str(error)) from error
        except TransportError as error:
            await self._client.close()
            raise StoreAnswerLostError(str(error)) from error
        if status != HTTP_OK:
            raise _status_error(status, target, data)
        try:
            return dict(json.loads(data))
        except ValueError as error:
            raise StoreAnswerLostError(f"the store's answer is not JSON: {error}") from error

    def _decode_snapshot(self, answer: dict[str, Any]) -> Snapshot:
        """Decode the answer to a range request."""
        items = tuple(_decode_key_value(item) for item in answer.get("kvs", []))
        return Snapshot(items, int(answer["header"]["revision"]))


def _status_error(status: int, target: str, data: bytes) -> PlatformError:
    """Return the error for an unsuccessful answer.

    A server that timed out waiting for its cluster cannot know whether a write took effect.
    """
    detail = f"the store answered {status} to {target}: {data[:200]!r}"
    if status >= HTTP_SERVER_ERROR and any(message in data for message in UNKNOWN_EFFECT_MESSAGES):
        return StoreAnswerLostError(detail)
    return StoreUnavailableError(detail)


def _encode_put(put: Put) -> dict[str, Any]:
    """Encode a write in its wire format."""
    if put.value is None:
        return {"request_delete_range": {"key": _encode(put.key)}}
    request = {"key": _encode(put.key), "value": _encode(put.value)}
    if put.lease:
        request["lease"] = str(put.lease)
    return {"request_put": request}


class EtcdWatch:
    """A watch, received as a stream of JSON objects, one per line."""

    def __init__(self, response: HttpResponse) -> None:
        self._response = response
        self._partial = bytearray()

    async def next(self) -> list[WatchEvent]:
        """Return the next changes in order."""
        while True:
            events = self._decode_events(await self._next_line())
            if events:
                return events

    async def close(self) -> None:
        """Close the watch."""
        await self._response.close()

    async def _next_line(self) -> bytes:
        """Return the next line without its newline."""
        searched = 0
        while (end := self._partial.find(b"\n", searched)) < 0:
            searched = len(self._partial)
            if searched > MAX_LINE_BYTES:
                raise StoreUnavailableError(f"a line of the watch is over {MAX_LINE_BYTES} bytes")
            try:
                data = await self._response.read(WATCH_READ_TIMEOUT_S)
            except TransportError as error:
                raise StoreUnavailableError(f"the watch broke: {error}") from error
            if not data:
                raise StoreUnavailableError("the watch ended")
            self._partial += data
        line = bytes(self._partial[:end])
        del self._partial[: end + 1]
        return line

    def _decode_events(self, line: bytes) -> list[WatchEvent]:
        """Decode the events of one line; raise ``CompactedError`` if the revision is compacted."""
        try:
            message = json.loads(line)
        except ValueError as error:
            raise PlatformError(f"the watch sent what is not JSON: {error}") from error
        result = message.get("result", {})
        if int(result.get("compact_revision", 0)):
            raise CompactedError(int(result["compact_revision"]))
        return [_decode_watch_event(item) for item in result.get("events", [])]


def _decode_watch_event(item: dict[str, Any]) -> WatchEvent:
    """Decode one change from its wire format."""
    pair = _decode_key_value(item["kv"])
    deleted = item.get("type") == "DELETE"
    return WatchEvent(pair.key, None if deleted else pair.value, pair.mod_revision)
