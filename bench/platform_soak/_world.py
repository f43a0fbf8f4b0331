"""All that a soak runs: stand-ins, links, processes, and what is known of their faults."""

import json
import time
from collections import deque
from functools import partial
from pathlib import Path
from random import Random

import curio

from bench.platform_soak._links import FaultyLink
from bench.platform_soak._programs import Program
from bench.platform_soak._upstreams import (
    EXPERTS,
    LAYERS,
    PLACES,
    SLOTS,
    SPARE,
    ModelGroup,
    RankUpstream,
    Record,
    Upstream,
)
from bluebellrun.core import Address
from standins.users_platform import FakeStore, StoreCopy

GATEWAYS, RANKS, PLAIN = 3, 4, 2
ZONES = ("a", "b", "c")
PORT = 8100
KEYS = {"key-one": "one", "key-two": "two"}
HOST = "soak.example"
DEADLINE_S = 6.0
# An upstream that has left gets no requests after this.
DRAIN_S = 2.0
LEASES_CHECKED_S = 0.2
# How often the store is copied, and how many copies are kept: those of the last seconds.
COPIED_S, COPIES = 0.5, 12
# An upstream that is gone misses its heartbeats and is removed from the store.
HEARTBEATS_MISSED_S = 2.0
# A soak that is itself late by this much cannot tell whose fault lateness is.
OWN_PACE_S, LATE_S = 0.1, 0.3
# After a fault of the store or a process others may still feel it for so long.
AFTERMATH_S = 4.0


class World:
    """The stand-ins, the links to them and the processes, on addresses that begin with ``net``."""

    def __init__(self, net: str, folder: Path, seed: int, older: Path | None = None) -> None:
        self.random = Random(f"world/{seed}")
        self.record = Record()
        self.store = FakeStore()
        self.group = ModelGroup(RANKS, self.random)
        self.links: dict[str, FaultyLink] = {}
        self.upstreams: list[Upstream] = []
        self.version = 1
        # The crashing parts that callers send now.
        self.sent_crashing: list[str] = []
        # While this lies ahead, answers may be cut or late for reasons outside one process.
        self.disturbed_until = 0.0
        self.has_older_builds = older is not None
        self._copies: deque[StoreCopy] = deque(maxlen=COPIES)
        self._configuration = b""
        self._net = net
        store = Address(f"{net}.9.1", PORT)
        self._store_address = store
        # Where each gateway's calls reach the store, so that a fault can be given to one of them.
        self._store_clients: dict[str, Address] = {}
        for number in range(1, RANKS + 1):
            link, engine = Address(f"{net}.2.{number}", PORT), Address(f"{net}.3.{number}", PORT)
            self.upstreams.append(
                rank := RankUpstream(engine, f"rank{number}", self.record, number - 1, self.group)
            )
            rank.on_crash = partial(self._crash_by_itself, rank)
            self.links[f"rank{number}"] = FaultyLink(link, engine)
        for number in range(1, PLAIN + 1):
            link, replica = Address(f"{net}.4.{number}", PORT), Address(f"{net}.5.{number}", PORT)
            self.upstreams.append(Upstream(replica, "job-ledger", f"job{number}", self.record))
            self.links[f"job{number}"] = FaultyLink(link, replica)
        self.gateways = []
        for number in range(1, GATEWAYS + 1):
            through, served = (
                Address(f"{net}.8.{number}", PORT),
                Address(f"{net}.9.{10 + number}", PORT),
            )
            self.links[f"store{number}"] = FaultyLink(through, served)
            self._store_clients[f"gateway{number}"] = served
            ip, zone = f"{net}.1.{number}", ZONES[number - 1]
            program = Program(f"gateway{number}", "gateway", ip, zone, through, folder)
            if older is not None:
                program.older, program.starts = older, number % 2
            self.gateways.append(program)
        self.sidecars = [
            Program(
                *(f"sidecar{number}", "sidecar", f"{net}.2.{number}", "a", store, folder),
                app=Address(f"{net}.3.{number}", PORT),
            )
            for number in range(1, RANKS + 1)
        ]

    @property
    def programs(self) -> list[Program]:
        """Return all processes."""
        return [*self.gateways, *self.sidecars]

    def disturb(self, seconds: float) -> None:
        """Note that faults outside the processes may be felt for some seconds from now."""
        until = time.monotonic() + seconds + AFTERMATH_S
        self.disturbed_until = max(self.disturbed_until, until)

    async def start(self) -> None:
        """Start everything and wait until all gateways are ready."""
        await self.store.start(self._store_address)
        for client, address in self._store_clients.items():
            await self.store.start(address, client)
        for link in self.links.values():
            await link.bring_up()
        for upstream in self.upstreams:
            await upstream.start()
            self.register(upstream)
        self.write_configuration()
        await curio.spawn(self.group.run, daemon=True)
        await curio.spawn(self._expire_leases, daemon=True)
        await curio.spawn(self._copy_store, daemon=True)
        await curio.spawn(self._watch_own_pace, daemon=True)
        for program in self.programs:
            program.start()

    async def _expire_leases(self) -> None:
        """End leases that nobody renews, until cancelled."""
        while True:
            await curio.sleep(LEASES_CHECKED_S)
            self.store.expire_leases()

    async def _copy_store(self) -> None:
        """Keep copies of the store's last seconds, until cancelled."""
        while True:
            self._copies.append(self.store.copy())
            await curio.sleep(COPIED_S)

    async def restore_store(self, random: Random) -> None:
        """Bring the store back from an older copy; operator and upstreams write theirs again."""
        self.store.restore(random.choice(self._copies))
        self._copies.clear()
        self._copies.append(self.store.copy())
        await curio.sleep(random.uniform(0.0, 1.0))
        self.store.put("op/config", self._configuration)
        for upstream in self.upstreams:
            if upstream.alive:
                self.register(upstream)
                await curio.sleep(random.uniform(0.0, 0.1))
        await curio.sleep(HEARTBEATS_MISSED_S)
        alive = {f"servers/{upstream.instance}" for upstream in self.upstreams}
        for key in [k for k in self.store.items if k.startswith("servers/") and k not in alive]:
            self.store.delete(key)

    async def _watch_own_pace(self) -> None:
        """Note when the machine gives this process no time, until cancelled."""
        while True:
            began = time.monotonic()
            await curio.sleep(OWN_PACE_S)
            if time.monotonic() - began > OWN_PACE_S + LATE_S:
                self.disturb(0.0)

    def link_of(self, upstream: Upstream) -> Address:
        """Return the address at which an upstream is reached through its link."""
        net, kind, number = self._net, upstream.instance.split("-")[1], upstream.address.ip[-1]
        return Address(f"{net}.{2 if kind.startswith('rank') else 4}.{number}", PORT)

    def register(self, upstream: Upstream, state: str = "ready") -> None:
        """Write an upstream's registration."""
        told = {
            "service": upstream.service,
            "addr": str(self.link_of(upstream)),
            "zone": ZONES[int(upstream.address.ip[-1]) % len(ZONES)],
            "version": "1",
            "slots": SLOTS,
            "state": state,
            "seq": 0,
        }
        self.store.put(f"servers/{upstream.instance}", json.dumps(told).encode())

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        engine = {
            "slots": SLOTS,
            "sets": LAYERS,
            "experts": EXPERTS,
            "places": PLACES,
            "spare": SPARE,
            "expert_mb": 1,
        }
        stream = {"kind": "stream", "service": "draft-pool", "goal_ms": 2000, "can_resume": True}
        routes = [
            {"name": "draft", "prefix": "/draft/", "attempts": 3, **stream},
            {"name": "order", "prefix": "/order/", "kind": "non_idempotent", "attempts": 2},
            {"name": "look", "prefix": "/look/", "kind": "idempotent", "attempts": 2},
        ]
        written = {
            "version": self.version,
            "routes": [
                {"service": "job-ledger", "host": HOST, "timeout_ms": DEADLINE_S * 1000, **route}
                for route in routes
            ],
            "services": [{"name": "draft-pool", "engine": engine}, {"name": "job-ledger"}],
            "tenants": [{"name": name, "api_keys": [key]} for key, name in KEYS.items()],
        }
        self._configuration = json.dumps(written).encode()
        self.store.put("op/config", self._configuration)

    async def _crash_by_itself(self, rank: RankUpstream) -> None:
        """End a rank's process because of a request; it comes back after some seconds."""
        if rank.alive:
            down_s = self.random.uniform(0.5, 2.0)
            self.disturb(down_s + 2.0)
            await self.replace(rank, down_s, down_s / 2)

    async def replace(self, upstream: Upstream, down_s: float, registered_s: float = 0.0) -> None:
        """End an upstream's life; its entry goes later, and a new life begins at its address."""
        old = upstream.instance
        is_rank = upstream.service == "draft-pool"
        if is_rank:
            self.group.is_open = False
        link = self.links[upstream.instance.split("-")[1]]
        await upstream.crash()
        await link.take_down()
        await curio.sleep(min(down_s, registered_s))
        self.store.delete(f"servers/{old}")
        await curio.sleep(max(0.0, down_s - registered_s))
        await upstream.start()
        await link.bring_up()
        self.register(upstream)
        if is_rank and all(u.alive for u in self.upstreams if u.service == "draft-pool"):
            self.group.form_again()
