"""Several nodes in one loop, over loopback, with one store in memory."""

import contextlib
import json
from dataclasses import replace
from random import Random

import curio
from curio.socket import SHUT_RDWR

from bluebellrun.core import Address, MonotonicClock
from bluebellrun.distribution import Node, NodeSettings, NodeTiming
from bluebellrun.http import Listener
from bluebellrun.membership import SuspicionTiming
from bluebellrun.store import StoreRates
from bluebellrun.transport import LinkTiming, serve_link
from standins.platform import DirectStore

LINK = LinkTiming(connect_s=0.5, ping_interval_s=0.1, ping_timeout_s=0.3)
TIMING = NodeTiming(
    heartbeat_interval_s=0.05,
    poll_interval_s=0.02,
    stale_after_s=0.4,
    isolation_timeout_s=1.0,
    settle_s=0.1,
    parent_retry_delay_s=0.3,
    child_reconnect_s=0.1,
    directory_interval_s=0.3,
    min_hosts_interval_s=0.05,
    request_timeout_s=0.5,
)
SUSPICION = SuspicionTiming(suspect_timeout_s=0.5, deferred_timeout_s=60.0)


class Member:
    """A node that can be stopped without announcing it, and isolated from the store."""

    def __init__(self, node: Node, listener: Listener, store: DirectStore, sockets) -> None:
        self.node = node
        self.listener = listener
        self.store = store
        self.sockets = sockets

    @property
    def version(self) -> int:
        return self.node.follower.version

    async def kill(self) -> None:
        await self.listener.close()
        await self.node.close()
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                await sock.shutdown(SHUT_RDWR)


class Cluster:
    def __init__(self) -> None:
        self.clock = MonotonicClock()
        self.store = DirectStore(self.clock)
        self.members: dict[str, Member] = {}
        self.hosts = None

    async def start(self, name: str, domain: str = "d-1", seeds=(), store=None) -> Member:
        store = store or DirectStore(self.clock, self.store.memory, self.store.faults)
        sockets: set = set()

        async def handle(sock) -> None:
            sockets.add(sock)
            try:
                await serve_link(sock, node.serve_call, LINK)
            finally:
                sockets.discard(sock)

        listener = Listener(Address("127.0.0.1", 0), handle)
        settings = NodeSettings(
            name=name,
            role="node",
            host=f"host-{name}",
            region="r-1",
            failure_domain=domain,
            prefix="/t",
            seeds=tuple(seeds),
            rates=StoreRates(1e5, 1e5, 10),
            timing=TIMING,
            suspicion=SUSPICION,
            link=LINK,
        )
        node = Node(settings, str(listener.address), store, self.hosts, self.clock, Random(name))
        member = Member(node, listener, store, sockets)
        self.members[name] = member
        await curio.spawn(listener.run, daemon=True)
        await node.run()
        return member

    async def close(self) -> None:
        for member in self.members.values():
            member.node.state.stopping = True
        for member in self.members.values():
            await member.kill()

    async def declare(self, kind: str, *names: str) -> int:
        items = [{"kind": kind, "name": name, "protocol": "plain"} for name in names]
        value = json.dumps({"kind": kind, "items": items}).encode()
        self.store.memory.transact([], [lambda m: m.put(f"/t/config/{kind}".encode(), value, 0)])
        await self.wake()
        return self.store.memory.revision

    async def wake(self) -> None:
        for member in self.members.values():
            await member.store.wake()

    async def set_down(self, down: bool) -> None:
        self.store.faults.down = down
        await self.wake()

    async def wait_until(self, condition, timeout_s: float = 10.0) -> None:
        async with curio.timeout_after(timeout_s):
            while not condition():
                await curio.sleep(0.01)

    async def wait_for_version(self, version: int, *names: str) -> None:
        members = [self.members[name] for name in names or self.members]
        await self.wait_until(lambda: all(member.version >= version for member in members))

    def watchers(self) -> list[str]:
        return sorted(n for n, m in self.members.items() if m.node.state.watching)


def store_with_own_faults(cluster: Cluster) -> DirectStore:
    """Return a store with the cluster's memory and faults of its own."""
    return DirectStore(cluster.clock, cluster.store.memory, replace(cluster.store.faults))


def run_cluster(test) -> None:
    """Run a test on a cluster that is closed at its end."""

    async def main() -> None:
        cluster = Cluster()
        try:
            await test(cluster)
        finally:
            await cluster.close()

    curio.run(main)
