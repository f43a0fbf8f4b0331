"""A small stand-in for the platform's store, with the faults that its users name."""

import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import curio

from bluebellrun.core import Address
from bluebellrun.http import HttpExchange, HttpLimits, HttpServer

PAGE = 3
ANY_ADDRESS = Address("127.0.0.1", 0)


@dataclass(frozen=True)
class StoreCopy:
    """The contents of a store at one moment."""

    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]
    revision: int
    leases: dict[int, float]
    lasting_s: dict[int, float]


@dataclass
class FakeStore:
    """Keys with revisions, leases, and calls that can be refused, delayed or lost.

    The answer to the next watch that has events is lost for each client in ``lose_watches_of``;
    ``lost_at`` tells when that was, on the monotonic clock in seconds.
    Leases run out only when ``expire_leases`` is called. ``restore`` brings back an older copy.
    """

    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 1
    compacted: int = 0
    refuse: int = 0
    lose_answers: bool = False
    calls: int = 0
    silent: bool = False
    lose_watches_of: set[str] = field(default_factory=set)
    lost_at: dict[str, float] = field(default_factory=dict)
    delay_s: float = 0.0
    leases: dict[int, float] = field(default_factory=dict)
    lasting_s: dict[int, float] = field(default_factory=dict)
    server: HttpServer | None = None
    era: int = 1
    has_era: bool = True

    async def start(self, address: Address = ANY_ADDRESS, client: str = "") -> Address:
        """Serve on a loopback address; it may be called once for each ``client``."""

        async def handle(exchange: HttpExchange) -> None:
            await self.handle(exchange, client)

        self.server = HttpServer(address, handle, HttpLimits())
        await curio.spawn(self.server.run, daemon=True)
        return self.server.address

    def copy(self) -> "StoreCopy":
        """Return a copy of the contents."""
        return StoreCopy(
            dict(self.items),
            list(self.events),
            self.revision,
            dict(self.leases),
            dict(self.lasting_s),
        )

    def restore(self, copy: "StoreCopy") -> None:
        """Go back to an older copy: revisions and leases are given out again."""
        self.items, self.events = dict(copy.items), list(copy.events)
        self.leases, self.lasting_s = dict(copy.leases), dict(copy.lasting_s)
        self.revision = copy.revision
        self.compacted = min(self.compacted, copy.revision)
        self.era += 1

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "rev": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Forget the history."""
        self.compacted = self.revision
        self.events.clear()

    async def handle(self, exchange: HttpExchange, client: str = "") -> None:
        """Answer a call of a client."""
        self.calls += 1
        if self.silent:
            await curio.sleep(30)
        if self.delay_s:
            await curio.sleep(self.delay_s)
        if self.refuse:
            await self._send(exchange, self.refuse, {})
            return
        url = urlsplit(exchange.request.target)
        query = {
            name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()
        }
        body = json.loads(exchange.request.body or b"{}")
        status, answer = await self._answer(url.path, query, body)
        if client in self.lose_watches_of and answer.get("events"):
            self.lose_watches_of.remove(client)
            self.lost_at[client] = time.monotonic()
            await curio.sleep(30)
        if self.lose_answers:
            await curio.sleep(30)
        await self._send(exchange, status, answer)

    async def _send(self, exchange: HttpExchange, status: int, answer: dict[str, Any]) -> None:
        headers = [("content-type", "application/json")]
        if self.has_era:
            headers.append(("store-era", str(self.era)))
        await exchange.answer(status, headers, json.dumps(answer).encode())

    async def _answer(
        self, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        match path:
            case "/api/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"store_revision": self.revision}
                return 200, {**item, "store_revision": self.revision}
            case "/api/kv-range":
                keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
                keys = [key for key in keys if key > query.get("after", "")]
                page = [self.items[key] for key in keys[:PAGE]]
                more = len(keys) > PAGE
                return 200, {
                    "items": page,
                    "has_more": more,
                    "store_revision": self.revision,
                }
            case "/api/kv-watch":
                return await self._watch(query)
            case "/api/kv-txn":
                return self._transact(body)
            case "/api/kv-lease":
                self.revision += 1
                self.lasting_s[self.revision] = body["ttl_ms"] / 1000
                self.leases[self.revision] = time.monotonic() + body["ttl_ms"] / 1000
                return 200, {"lease": self.revision, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if "lease-end" in path:
            self.end_lease(lease)
        else:
            self.leases[lease] = time.monotonic() + self.lasting_s[lease]
        return 200, {"ttl_ms": 2000}

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def expire_leases(self) -> None:
        """End the leases that nobody renewed in time."""
        now = time.monotonic()
        for lease in [number for number, until in self.leases.items() if until < now]:
            self.end_lease(lease)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        turns = int(query["wait_ms"]) // 20
        while True:
            if self.refuse:
                return self.refuse, {}
            if after < self.compacted or after > self.revision:
                return 410, {}
            found = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(query["prefix"])
            ]
            if found or turns <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            turns -= 1
            await curio.sleep(0.02)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["expected"]:
            if self.items.get(row["key"], {}).get("rev", 0) != row["rev"]:
                return 412, {"items": []}
        for row in body["set_keys"]:
            if row["lease"] and row["lease"] not in self.leases:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["delete_keys"]:
            self.delete(key)
        return 200, {"rev": self.revision}
