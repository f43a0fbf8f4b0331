"""A process's node in the control plane: one periodic task per concern, sharing one state."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio
import msgspec

from bluebellrun.core import Clock, InvariantError
from bluebellrun.distribution._bootstrap import Bootstrap
from bluebellrun.distribution._children import Children
from bluebellrun.distribution._configuration import ConfigurationFollower
from bluebellrun.distribution._directory import Directory
from bluebellrun.distribution._parents import Parents, ParentTarget, parent_target
from bluebellrun.distribution._settings import NodeSettings
from bluebellrun.distribution._source import Source
from bluebellrun.distribution._state import (
    UNKNOWN_AGE_S,
    DepartureListener,
    NodeState,
    PeerListener,
)
from bluebellrun.http import TransportError
from bluebellrun.membership import Departures, MemberRow, MemberState
from bluebellrun.messages import (
    FOLLOW_PATH,
    GATHER_PATH,
    STATUS_PATH,
    ControlMessage,
    GatherReply,
    HostStates,
    NodeStatus,
    Report,
    StatusRequest,
    StoreCalls,
    decode_gather_request,
    decode_status_request,
    encode_message,
)
from bluebellrun.runtime import spawn_background
from bluebellrun.store import GuardedStore, HostList, KeyValueStore, PlatformError
from bluebellrun.telemetry import get_logger
from bluebellrun.transport import Call, CallError, dial

PARENTS = 2
STATUS_INVALID = 3
STATUS_UNIMPLEMENTED = 12
LEAVE_FLUSH_S = 0.1
INITIAL_DIRECTORY_DELAYS_S = (1.0, 3.0)

_log = get_logger("distribution.node")


class Node:
    """Keep configuration, members and hosts up to date here and in the children."""

    def __init__(
        self,
        settings: NodeSettings,
        address: str,
        store: KeyValueStore,
        hosts: HostList | None,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._random = random
        self._state = NodeState(settings, address, clock)
        rates = settings.rates
        self._store = GuardedStore(store, rates.ordinary_quota, clock, random)
        self._watcher_store = GuardedStore(store, rates.watcher_quota, clock, random)
        self._children = Children(self._state, self._child_lost)
        self._parents = Parents(self._state)
        self._directory = Directory(self._store, settings.prefix)
        self._bootstrap = Bootstrap(self._state, self._directory, random)
        self._source = Source(self._state, self._watcher_store, hosts, random)
        self._source_task: Any = None
        self._tasks: list[Any] = []
        self._isolated_since = clock.now()
        self._watching_settled_at = clock.now()
        self._isolation_timeout_s = self._timing.isolation_timeout_s * (1 + random.random())
        self._state.set_sender(self)

    @property
    def follower(self) -> ConfigurationFollower:
        """Return the follower that has the configuration in force."""
        return self._state.follower

    @property
    def departures(self) -> Departures:
        """Return the hosts and members that get no new work."""
        return self._state.departures

    @property
    def state(self) -> NodeState:
        """Return the state."""
        return self._state

    @property
    def ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self._state.follower.version > 0

    def add_departure_listener(self, listener: DepartureListener) -> None:
        """Call a function whenever the hosts or members that get no new work change."""
        self._state.add_departure_listener(listener)

    def add_peer_listener(self, listener: PeerListener) -> None:
        """Call a function with the live members of this failure domain when they change."""
        self._state.add_peer_listener(listener)

    async def run(self) -> None:
        """Start all periodic tasks in the background."""
        for task in (
            self._state.apply_changes,
            self._bootstrap.run,
            self._choose_parents,
            self._send_heartbeats,
            self._expire_suspicions,
            self._maintain_slot,
        ):
            self._tasks.append(await spawn_background(self._run_task, task))

    async def close(self) -> None:
        """Stop all tasks when the process ends."""
        self._state.stopping = True
        for task in self._tasks:
            await task.cancel()
        if self._source_task is not None:
            await self._source_task.cancel()
        await self._parents.close()

    async def leave(self) -> None:
        """Announce that this process leaves, so that peers send no work and await no timeout."""
        await self._state.forward_rows(self._state.members.leave(self._state.now))
        await curio.sleep(LEAVE_FLUSH_S)

    async def serve_call(self, call: Call) -> None:
        """Serve a call of another process; raise ``CallError`` for an unknown method."""
        match call.path:
            case str() as path if path == FOLLOW_PATH:
                await self._children.serve(call)
            case str() as path if path == GATHER_PATH:
                await self._serve_gather(call)
            case str() as path if path == STATUS_PATH:
                await self._serve_status(call)
            case _:
                raise CallError(STATUS_UNIMPLEMENTED, f"no method {call.path}")

    async def send(self, message: ControlMessage, exclude: object | None) -> None:
        """Forward a change to children, and to parents unless it is a host table."""
        await self._children.send(message, exclude)
        if not isinstance(message, HostStates):
            await self._parents.send(message, exclude)

    def status(self, members: bool = False) -> NodeStatus:
        """Return the status of this process."""
        state = self._state
        follower = state.follower
        counts: dict[str, int] = {}
        for row in state.members.rows:
            counts[str(row.state)] = counts.get(str(row.state), 0) + 1
        return NodeStatus(
            row=state.members.own,
            version=follower.version,
            digest=state.documents.digest,
            age_s=round(follower.age_s, 3) if self.ready else 0.0,
            source=follower.source,
            ready=self.ready,
            watcher=state.watching,
            hops=self._hops(),
            watcher_age_s=round(self._watcher_age_s(), 3),
            store_age_s=round(self._store_age_s(), 3),
            members=counts,
            report=self._children.report(),
            parents=[parent.status() for parent in self._parents.all],
            children=self._children.names,
            calls=self._store_calls(),
            rows=state.members.rows if members else [],
        )

    async def _run_task(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task; restart it after an unexpected error, since no other task replaces it."""
        while True:
            try:
                await task()
                return
            except InvariantError:
                raise
            except Exception:
                _log.exception("periodic task failed", task=task.__qualname__)
            await curio.sleep(self._timing.heartbeat_interval_s)

    def _store_calls(self) -> StoreCalls:
        """Return the calls made to the key-value service."""
        accounts = (self._store.call_counts, self._watcher_store.call_counts)
        return StoreCalls(
            reads=sum(account.reads for account in accounts),
            writes=sum(account.writes for account in accounts),
            watches=sum(account.watches for account in accounts),
            failures=sum(account.failures for account in accounts),
            over_budget=sum(account.over_budget for account in accounts),
        )

    async def _serve_gather(self, call: Call) -> None:
        """Send a new process the documents and members."""
        data = await call.receive()
        try:
            request = decode_gather_request(data or b"")
        except msgspec.DecodeError as error:
            raise CallError(STATUS_INVALID, str(error)) from error
        state = self._state
        reply = GatherReply(
            failure_domain=self._settings.failure_domain,
            version=state.documents.version,
            news=state.encoded_since(request.version),
            rows=state.members.rows,
        )
        await call.send(encode_message(reply))

    async def _serve_status(self, call: Call) -> None:
        """Send the status."""
        data = await call.receive()
        try:
            request = decode_status_request(data or b"")
        except msgspec.DecodeError as error:
            raise CallError(STATUS_INVALID, str(error)) from error
        await call.send(encode_message(self.status(request.members)))

    async def _choose_parents(self) -> None:
        """Update the parents and start or stop watching the store as needed."""
        while True:
            await self._update_watching()
            await self._parents.follow(self._targets(), PARENTS)
            for name in self._parents.pop_lost():
                await spawn_background(self._check_and_suspect, name)
            await curio.sleep(self._timing.poll_interval_s)

    def _targets(self) -> list[ParentTarget]:
        """Return the possible parents, the best first."""
        state = self._state
        if not state.joined:
            return self._bootstrap.answered
        names = state.tree.candidates(self._settings.name)
        rows = (state.members.get(name) for name in names)
        targets = [parent_target(row) for row in rows if row is not None]
        if not state.watching:
            return targets
        return [*targets[:1], *self._bootstrap.foreign, *targets[1:]]

    async def _update_watching(self) -> None:
        """Start or stop watching the store."""
        state = self._state
        if state.watching or self._parents.watcher_age_s <= self._timing.stale_after_s:
            self._isolated_since = state.now
        should_watch = state.joined and self._should_watch()
        if should_watch == state.watching:
            self._watching_settled_at = state.now
        settled = state.now - self._watching_settled_at >= self._timing.settle_s
        if not settled and self._parents.watcher_age_s <= self._timing.stale_after_s:
            return
        if should_watch and self._source_task is None:
            _log.info("store watch started", members=len(state.members.rows))
            state.watching_since = state.now
            self._source_task = await spawn_background(self._source.run)
        if not should_watch and self._source_task is not None:
            _log.info("store watch stopped")
            state.watching_since = None
            await self._source_task.cancel(blocking=False)
            self._source_task = None

    def _should_watch(self) -> bool:
        """Return whether this process is a watcher by rank, or has no fresh state from one."""
        state = self._state
        if state.tree.layer(self._settings.name) == 0:
            return True
        if state.watching:
            return self._parents.watcher_age_s > self._timing.stale_after_s
        return state.now - self._isolated_since > self._isolation_timeout_s

    async def _send_heartbeats(self) -> None:
        """Send heartbeats to children and a version report to the primary parent."""
        while True:
            await curio.sleep(self._timing.heartbeat_interval_s)
            heartbeat = self._state.heartbeat(
                self._hops(), self._watcher_age_s(), self._store_age_s()
            )
            await self._children.send(heartbeat, None)
            if not self._state.watching:
                await self._parents.report(self._children.report())
            else:
                await self._parents.report(Report([], []))

    async def _expire_suspicions(self) -> None:
        """Expire suspicions, and log when another process uses this process's name."""
        conflicts = 0
        while True:
            await curio.sleep(self._timing.heartbeat_interval_s)
            if self._state.members.conflicts > conflicts:
                conflicts = self._state.members.conflicts
                _log.warning("another incarnation of this name detected", times=conflicts)
            await self._state.forward_rows(self._state.members.expire_suspicions(self._state.now))

    async def _maintain_slot(self) -> None:
        """As a watcher, read the directory periodically and write this process's slot."""
        pauses = list(INITIAL_DIRECTORY_DELAYS_S)
        while True:
            pause_s = pauses.pop(0) if pauses else self._timing.directory_interval_s
            await curio.sleep(pause_s * (0.75 + 0.5 * self._random.random()))
            if not self._state.watching:
                continue
            if await self._bootstrap.refresh():
                await self._bootstrap.merge_partitions()
                await self._write_slot()

    async def _write_slot(self) -> None:
        """Write the slot of this process's rank, unless it holds it already."""
        watchers = list(self._state.tree.watchers)
        if self._settings.name not in watchers:
            return
        try:
            slot = watchers.index(self._settings.name)
            await self._directory.claim(self._state.members.own, slot)
        except PlatformError as error:
            _log.info("directory slot not written", error=str(error))

    async def _child_lost(self, row: MemberRow) -> None:
        """Check a child whose link broke, after giving it time to reconnect."""
        await curio.sleep(self._timing.child_reconnect_s)
        if row.name not in self._children.names:
            await self._check_and_suspect(row.name)

    async def _check_and_suspect(self, name: str) -> None:
        """Suspect a member whose link broke, unless it answers on a new link."""
        state = self._state
        row = state.members.get(name)
        if row is None or row.state in (MemberState.SUSPECT, MemberState.GONE):
            return
        if await self._is_reachable(row):
            return
        await state.forward_rows(state.members.suspect(name, state.now))

    async def _is_reachable(self, row: MemberRow) -> bool:
        """Return whether a member answers on a new link."""
        request = encode_message(StatusRequest())
        try:
            link = await dial(parent_target(row).address, self._settings.link)
            try:
                await link.call_unary(STATUS_PATH, request, self._timing.request_timeout_s)
            finally:
                await link.close()
        except TransportError:
            return False
        return True

    def _hops(self) -> int:
        """Return how many hops this process is from a watcher."""
        return 0 if self._state.watching else self._parents.hops + 1

    def _watcher_age_s(self) -> float:
        """Return the age of the newest watcher state."""
        return 0.0 if self._state.watching else self._parents.watcher_age_s

    def _store_age_s(self) -> float:
        """Return the age of the store's newest confirmation."""
        confirmed_at = self._state.store_confirmed_at
        own = UNKNOWN_AGE_S if confirmed_at is None else self._state.now - confirmed_at
        return min(own, self._parents.store_age_s)
