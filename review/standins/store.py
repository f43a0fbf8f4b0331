"""The platform's store: keys, revisions, leases, transactions and watches that wait.

It listens on one address for each machine, so that a fault can be given to one of them.
"""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.wire import Message, Server, json_answer

ANSWER_S = 0.004
WATCH_POLL_S = 0.005
FOREVER_S = 3_600.0


@dataclass
class Store:
    """A store whose answers can be lost or held back; times on the monotonic clock."""

    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 1
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    # While true, no call is answered.
    silent: bool = False
    # The machine whose next watch with events gets no answer, and when that happened.
    lose_watch_of: str = ""
    lost_at: float = 0.0
    # The machines whose latest watch began after one that ended without events, and when.
    watch_began: dict[str, float] = field(default_factory=dict)
    _quiet: set[str] = field(default_factory=set)
    # The machine that wrote the record of the placement role last.
    role_holder: str = ""
    _servers: list[Server] = field(default_factory=list)
    _task: "asyncio.Task[None] | None" = None

    async def start(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Listen on an address for each machine, by the machine's name."""
        for machine, (ip, port) in addresses.items():
            server = Server(ip, port, self._handler(machine))
            await server.start()
            self._servers.append(server)
        self._task = asyncio.ensure_future(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "tombstone": True})

    async def _expire(self) -> None:
        """End the leases that ran out."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (until, _) in self.leases.items() if until < now]:
                self._end(lease)

    def _end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def _handler(self, machine: str) -> Any:
        """Return the handler of one machine's calls."""

        async def handle(request: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(FOREVER_S if self.silent else ANSWER_S)
            url = urlsplit(request.target)
            query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            body = json.loads(request.body or b"{}")
            if url.path == "/api/kv-watch":
                self._note_watch(machine)
                status, value = await self._watch(query)
                if not value["events"]:
                    self._quiet.add(machine)
                if value["events"] and self.lose_watch_of == machine:
                    self.lose_watch_of, self.lost_at = "", time.monotonic()
                    await asyncio.sleep(FOREVER_S)
            else:
                status, value = self._answer(request.method, url.path, query, body, machine)
            if self.silent:
                await asyncio.sleep(FOREVER_S)
            writer.write(json_answer(status, value))

        return handle

    def _note_watch(self, machine: str) -> None:
        """Note that a machine begins to watch."""
        self.watch_began.pop(machine, None)
        if machine in self._quiet:
            self._quiet.remove(machine)
            self.watch_began[machine] = time.monotonic()

    async def new_watch_of(self, machine: str) -> None:
        """Wait until a machine has just begun a watch, after one that told of nothing."""
        while True:
            began = self.watch_began.get(machine, 0.0)
            if 0.05 < time.monotonic() - began < 0.15:
                return
            await asyncio.sleep(0.01)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Answer as soon as there is an event, or at the end of the wait."""
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            found = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            if found or time.monotonic() >= until:
                return 200, {"events": found, "store_revision": self.revision}
            await asyncio.sleep(WATCH_POLL_S)

    def _answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any], machine: str
    ) -> tuple[int, dict[str, Any]]:
        """Answer any other call."""
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "store_revision": self.revision})
        if path == "/api/kv-range":
            keys = [k for k in sorted(self.items) if k.startswith(query["prefix"])]
            page = [self.items[k] for k in keys if k > query.get("after", "")][:500]
            return 200, {"items": page, "has_more": False, "store_revision": self.revision}
        if path == "/api/kv-txn":
            return self._transact(body, machine)
        now = time.monotonic()
        if path == "/api/kv-lease":
            lease, ttl_ms = self.revision * 1000 + len(self.leases) + 1, body["ttl_ms"]
            ttl_ms = min(600_000, max(1_000, ttl_ms))
            while lease in self.leases:
                lease += 1
            self.leases[lease] = (now + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][1]
        if method == "DELETE":
            self._end(lease)
        else:
            self.leases[lease] = (now + ttl_ms / 1000, ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    def _transact(self, body: dict[str, Any], machine: str) -> tuple[int, dict[str, Any]]:
        """Do all of a transaction or nothing."""
        for row in body.get("expected", []):
            if self.items.get(row["key"], {}).get("rev", 0) != row["rev"]:
                return 412, {"items": []}
        for row in body.get("set_keys", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            if "/roles/" in row["key"]:
                self.role_holder = machine
        for key in body.get("delete_keys", []):
            self.delete(key)
        return 200, {"rev": self.revision}
