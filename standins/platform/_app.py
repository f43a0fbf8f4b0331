"""The platform's HTTP API: etcd's JSON gateway, the host list and the weight store."""

import base64
import json
import time
import zlib
from dataclasses import asdict
from typing import Any

import curio

from bluebellrun.http import HttpExchange
from standins._serving import not_found
from standins.platform._faults import CallCounts, StoreFaults
from standins.platform._store import Change, MemoryStore, Record
from standins.platform._weights import WeightShelf

WATCH_POLL_S = 0.005
LEASE_SWEEP_S = 0.05


def _decode(text: str) -> bytes:
    """Return the bytes of a base64 text."""
    return base64.b64decode(text)


def _encode(raw: bytes) -> str:
    """Return bytes in base64."""
    return base64.b64encode(raw).decode()


def _wire_record(key: bytes, record: Record) -> dict[str, str]:
    """Return a key in its wire form."""
    return {
        "key": _encode(key),
        "value": _encode(record.value),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "version": str(record.version),
        "lease": str(record.lease),
    }


def _wire_change(change: Change) -> dict[str, Any]:
    """Return a change in its wire form."""
    if change.record is None:
        pair = {"key": _encode(change.key), "mod_revision": str(change.revision)}
        return {"type": "DELETE", "kv": pair}
    return {"type": "PUT", "kv": _wire_record(change.key, change.record)}


class PlatformApp:
    """Serve the platform's three services from memory."""

    def __init__(self, faults: StoreFaults | None = None) -> None:
        self.store = MemoryStore()
        self.faults = faults or StoreFaults()
        self.counts = CallCounts()
        self.weights = WeightShelf()
        self.hosts: dict[str, str] = {}
        self.host_lag_s = 0.0
        self._host_history: list[tuple[float, dict[str, str]]] = []

    async def run(self) -> None:
        """Let leases lapse as time passes."""
        while True:
            await curio.sleep(LEASE_SWEEP_S)
            self.store.lapse(time.monotonic())

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        path = exchange.request.path
        if path.startswith("/standin/"):
            await self._control(exchange, path)
            return
        if path == "/hosts":
            await self._hosts(exchange)
            return
        if path.startswith("/weights/"):
            await self.weights.handle(exchange)
            return
        if not path.startswith("/v3/"):
            await not_found(exchange)
            return
        self.counts.by_path[path] = self.counts.by_path.get(path, 0) + 1
        if self.faults.delay_s:
            await curio.sleep(self.faults.delay_s)
        if self.faults.down:
            await exchange.answer_json(503, {"error": "etcdserver: no leader", "code": 14})
            return
        await self._store_call(exchange, path)

    async def _store_call(self, exchange: HttpExchange, path: str) -> None:
        """Answer a call to the key-value service."""
        body = json.loads(exchange.request.body or b"{}")
        if path == "/v3/watch":
            await self._watch(exchange, body["create_request"])
            return
        answer = self._answer(path, body)
        if answer is None:
            await not_found(exchange)
            return
        if path != "/v3/kv/range" and self.faults.loses_answer():
            exchange.abort()
            return
        answer["header"] = {"revision": str(self.store.revision)}
        await exchange.answer_json(200, answer)

    def _answer(self, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        """Do what a unary call asks and return its answer."""
        now = time.monotonic()
        if path == "/v3/kv/range":
            self.counts.reads += 1
            return self._range(body)
        self.counts.writes += 1
        match path:
            case "/v3/kv/put":
                self.store.transact([], [self._operation({"request_put": body})])
                return {}
            case "/v3/kv/txn":
                return self._transaction(body)
            case "/v3/lease/grant":
                ttl_s = int(body["TTL"])
                return {"ID": str(self.store.grant(ttl_s, now)), "TTL": str(ttl_s)}
            case "/v3/lease/keepalive":
                ttl = self.store.keep_alive(int(body["ID"]), now)
                return {"result": {"ID": body["ID"], "TTL": str(int(ttl))}}
            case "/v3/lease/revoke" | "/v3/kv/lease/revoke":
                self.store.revoke(int(body["ID"]))
                return {}
        return None

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a range."""
        end = _decode(body["range_end"]) if body.get("range_end") else None
        found = self.store.select(_decode(body["key"]), end)
        pairs = [_wire_record(k, r) for k, r in found]
        if body.get("keys_only"):
            pairs = [pair | {"value": ""} for pair in pairs]
        return {"kvs": pairs, "count": str(len(found))}

    def _transaction(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a transaction."""
        compares = [self._compare(item) for item in body.get("compare", [])]
        operations = [self._operation(item) for item in body.get("success", [])]
        return {"succeeded": self.store.transact(compares, operations)}

    def _compare(self, item: dict[str, Any]) -> dict[str, Any]:
        """Read a condition from its wire form."""
        target = item.get("target", "VERSION")
        if target == "VALUE":
            expected: Any = _decode(item.get("value", ""))
        else:
            field = {"MOD": "mod_revision", "CREATE": "create_revision"}.get(target, "version")
            expected = int(item.get(field, 0))
        result = item.get("result", "EQUAL")
        key = _decode(item["key"])
        return {"key": key, "target": target, "result": result, "expected": expected}

    def _operation(self, item: dict[str, Any]) -> Any:
        """Return a write as a function of the store."""
        if "request_put" in item:
            put = item["request_put"]
            key, value = _decode(put["key"]), _decode(put.get("value", ""))
            lease = int(put.get("lease", 0))
            return lambda store: store.put(key, value, lease)
        key = _decode(item["request_delete_range"]["key"])
        return lambda store: store.delete(key)

    async def _watch(self, exchange: HttpExchange, request: dict[str, Any]) -> None:
        """Send changes as they happen, one JSON object on a line."""
        key = _decode(request["key"])
        end = _decode(request["range_end"]) if request.get("range_end") else None
        revision = int(request.get("start_revision", 0)) or self.store.revision + 1
        self.counts.watches += 1
        self.counts.open_watches += 1
        try:
            await exchange.send_head(200, [("content-type", "application/json")])
            if revision <= self.store.compacted:
                gone = {"compact_revision": str(self.store.compacted), "canceled": True}
                await exchange.send_body(json.dumps({"result": gone}).encode() + b"\n")
                await exchange.finish()
                return
            await self._send(exchange, {"created": True})
            await self._follow(exchange, key, end, revision)
        finally:
            self.counts.open_watches -= 1

    async def _follow(
        self, exchange: HttpExchange, key: bytes, end: bytes | None, revision: int
    ) -> None:
        """Send changes from a revision on until an outage."""
        while not self.faults.down:
            if self.store.revision >= revision:
                changes = self.store.changes_since(revision, key, end)
                revision = self.store.revision + 1
                if changes:
                    await curio.sleep(self.faults.delay_s)
                    await self._send(exchange, {"events": [_wire_change(c) for c in changes]})
            await curio.sleep(WATCH_POLL_S)
        exchange.abort()

    async def _send(self, exchange: HttpExchange, result: dict[str, Any]) -> None:
        """Send one line of a watch."""
        result["header"] = {"revision": str(self.store.revision)}
        await exchange.send_body(json.dumps({"result": result}).encode() + b"\n")

    async def _hosts(self, exchange: HttpExchange) -> None:
        """Answer with the host list as it was ``host_lag_s`` ago."""
        cutoff = time.monotonic() - self.host_lag_s
        seen: dict[str, str] = self.hosts if not self._host_history else {}
        for when, hosts in self._host_history:
            if when <= cutoff:
                seen = hosts
        listed = [{"name": name, "state": state} for name, state in sorted(seen.items())]
        tag = f'"{zlib.crc32(json.dumps(listed).encode()):08x}"'
        if exchange.request.header("if-none-match") == tag:
            await exchange.answer(304, [("etag", tag)], b"")
            return
        body = json.dumps({"hosts": listed}).encode()
        headers = [("content-type", "application/json"), ("etag", tag)]
        await exchange.answer(200, headers, body)

    async def _control(self, exchange: HttpExchange, path: str) -> None:
        """Take an order for a fault, or tell the counts."""
        body = json.loads(exchange.request.body or b"{}")
        match path:
            case "/standin/faults":
                for name, value in body.items():
                    setattr(self.faults, name, value)
            case "/standin/hosts":
                self.hosts = dict(body)
                self._host_history.append((time.monotonic(), dict(body)))
            case "/standin/host-lag":
                self.host_lag_s = float(body["seconds"])
            case "/standin/weights":
                self.weights.rate_bytes_per_s = float(body["rate_bytes_per_s"])
            case "/standin/compact":
                self.store.compact(self.store.revision + 1)
            case "/standin/counts":
                await exchange.answer_json(200, asdict(self.counts))
                return
            case _:
                await not_found(exchange)
                return
        await exchange.answer_json(200, {})
