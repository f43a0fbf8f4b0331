"""Entries that share the permits of limited upstreams, without a network, on a manual clock."""

from dataclasses import dataclass, field
from random import Random

import msgspec

from bluebellrun.core import Address
from bluebellrun.gateway import Upstream
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._limit_permits import LimitPermits
from bluebellrun.gateway._peers import EntryStatus, PeerTable, decode_status, encode_status
from bluebellrun.gateway._permit_messages import (
    PermitReply,
    PermitRequest,
    decode_permit_message,
)

ROUND_S = 0.1
STEP_S = 0.02
WINDOW_S, TOLD_AFTER_S, SLACK = 4.0, 0.5, 5.0


class ManualClock:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


@dataclass
class LimitedUpstream:
    """An upstream that names a limit, and the requests that reached it by entry and time."""

    record: Upstream
    per_s: float | None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    told_at: dict[str, float] = field(default_factory=dict)

    def most_from_told(self, since: float = 0.0) -> int:
        """Return the most requests in any window from entries that had been told before."""
        times = [
            at
            for at, entry in self.arrivals
            if at >= since and at - self.told_at.get(entry, at) >= TOLD_AFTER_S
        ]
        return max((sum(0 <= at - t < WINDOW_S for at in times) for t in times), default=0)

    def count(self, since: float) -> int:
        return sum(at >= since for at, _ in self.arrivals)


def bound(per_s: float) -> float:
    """Return how many requests in a window a limit allows."""
    return 1.5 * per_s * WINDOW_S + SLACK


class Entries:
    """Entries that exchange status and permits; those in ``cut`` reach no other entry."""

    def __init__(self, count: int, upstreams: int, per_s: float | None, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.names = [f"e{number}" for number in range(count)]
        self.cut: set[str] = set()
        self.older: set[str] = set()
        self.dead: set[str] = set()
        self.lost_datagrams = 0.0
        self.refused = 0
        self.permits: dict[str, LimitPermits] = {}
        self.tables: dict[str, PeerTable] = {}
        self._number = 0
        self._next_round = 0.0
        address = Address("10.0.0.1", 80)
        records = [Upstream(f"u{n}", "s", address, "a", 6, False, 7) for n in range(upstreams)]
        self.upstreams = [LimitedUpstream(record, per_s) for record in records]
        for name in self.names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Start an entry's process anew: it knows nothing."""
        self.dead.discard(name)
        self.tables[name] = PeerTable(name)
        permits = self.permits[name] = LimitPermits(
            self.tables[name], clock=self.clock, cold=self.cold_of(name)
        )
        permits.set_registered(len(self.names))

        async def send(data: bytes, peer: Address) -> None:
            await self._deliver(name, self.names[peer.port - 1], data)

        permits.connect(send)
        for upstream in self.upstreams:
            upstream.told_at.pop(name, None)

    def cold_of(self, name: str) -> ColdUpstreams:
        """Return what a new process of an entry knows of cold upstreams."""
        return ColdUpstreams()

    def reaches(self, one: str, other: str) -> bool:
        return one == other or not {one, other} & (self.cut | self.dead)

    async def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        is_lost = self.random.random() < self.lost_datagrams
        if is_lost or not self.reaches(sender, receiver) or receiver in self.older:
            return
        match decode_permit_message(data):
            case PermitRequest() as request:
                reply = self.permits[receiver].answer(request, self._find)
                await self._deliver(receiver, sender, msgspec.msgpack.encode(reply))
            case PermitReply() as reply:
                await self.permits[receiver].receive(reply)

    def _find(self, instance: str) -> Upstream | None:
        return next((u.record for u in self.upstreams if u.record.instance == instance), None)

    async def play(self, seconds: float, per_s: float) -> None:
        """Let callers send requests at a rate to each entry that runs."""
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time += STEP_S
            if self.clock.time >= self._next_round:
                self._next_round = self.clock.time + ROUND_S
                self._exchange()
            for name in self.names:
                if name not in self.dead and self.random.random() < per_s * STEP_S:
                    await self.send_request(name)

    async def send_request(self, name: str) -> bool:
        """Send one request of an entry to any upstream that has a permit for it."""
        now, permits = self.clock.time, self.permits[name]
        for upstream in self.random.sample(self.upstreams, len(self.upstreams)):
            if name in self.older:
                self._arrive(name, upstream)
                return True
            if permits.wait_s(upstream.record, now) or not await permits.acquire(upstream.record):
                continue
            self._arrive(name, upstream)
            return True
        self.refused += 1
        return False

    def _arrive(self, name: str, upstream: LimitedUpstream) -> None:
        now, key = self.clock.time, upstream.record.incarnation
        upstream.arrivals.append((now, name))
        if upstream.per_s is None:
            self.permits[name].limits.record_absent(key, now, now)
            return
        upstream.told_at.setdefault(name, now)
        self.permits[name].limits.record_named(key, upstream.per_s, now)

    def _exchange(self) -> None:
        """Send each entry's status to all others that it reaches."""
        now = self.clock.time
        for name in self.names:
            if name in self.dead:
                continue
            self._number += 1
            limits = None if name in self.older else self.permits[name].reports(now)
            address = f"10.0.0.1:{self.names.index(name) + 1}"
            status = EntryStatus(name, "i", self._number, address, 0.0, {}, limits=limits)
            data = encode_status(status)
            for other in self.names:
                if other != name and other not in self.dead and self.reaches(name, other):
                    received = decode_status(data)
                    assert received is not None
                    self.tables[other].record(received, now)
                    self.permits[other].apply_reports(received.limits or [], name, now)
        for table in self.tables.values():
            table.expire(now)
