"""Calls to this process's parents: two at a time, replaced when lost or without fresh state."""

from dataclasses import dataclass
from typing import Any

import msgspec

from bluebellrun.core import Address
from bluebellrun.distribution._documents import decode_delta
from bluebellrun.distribution._exceptions import DistributionError
from bluebellrun.distribution._session import PeerSession
from bluebellrun.distribution._state import UNKNOWN_AGE_S, NodeState
from bluebellrun.http import TransportError
from bluebellrun.membership import MemberRow
from bluebellrun.messages import (
    FOLLOW_PATH,
    ControlMessage,
    DocumentsRequest,
    DocumentsUpdate,
    Heartbeat,
    HostsRequest,
    HostStates,
    Join,
    MemberRows,
    ParentStatus,
    Redirect,
    Report,
    encode_message,
)
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import get_logger
from bluebellrun.transport import CallError, Link, dial

SYNC_AFTER_HEARTBEATS = 3

_log = get_logger("distribution.parents")


@dataclass(frozen=True, slots=True)
class ParentTarget:
    """A possible parent; a ``foreign`` one belongs to another failure domain."""

    name: str
    address: Address
    foreign: bool = False


class Parent:
    """A long call to one parent."""

    def __init__(self, state: NodeState, target: ParentTarget) -> None:
        self._state = state
        self._target = target
        self._link: Link | None = None
        self._session: PeerSession | None = None
        self._heartbeat: Heartbeat | None = None
        self._heartbeat_at = state.now
        self._started_at = state.now
        self._mismatched_heartbeats = 0
        self._reported = False
        self.primary = False
        self.ended = False
        self.redirected = False

    @property
    def name(self) -> str:
        """Return the parent's name."""
        return self._target.name

    @property
    def session(self) -> PeerSession | None:
        """Return the session, or none while there is no link."""
        return self._session

    @property
    def hops(self) -> int:
        """Return the parent's hops from a watcher."""
        return 0 if self._heartbeat is None else self._heartbeat.hops

    @property
    def has_heartbeat(self) -> bool:
        """Return whether a heartbeat has arrived."""
        return self._heartbeat is not None

    @property
    def running_s(self) -> float:
        """Return the time since the connection attempt started, in seconds."""
        return self._state.now - self._started_at

    @property
    def watcher_age_s(self) -> float:
        """Return the age of the watcher's newest state received through this parent."""
        if self._heartbeat is None:
            return UNKNOWN_AGE_S
        return self._heartbeat.watcher_age_s + self._state.now - self._heartbeat_at

    @property
    def store_age_s(self) -> float:
        """Return the age of the store's last confirmation received through this parent."""
        if self._heartbeat is None:
            return UNKNOWN_AGE_S
        return self._heartbeat.store_age_s + self._state.now - self._heartbeat_at

    def status(self) -> ParentStatus:
        """Return this parent's entry in the process status."""
        link = self._link
        sent = 0 if link is None else link.bytes_sent
        received = 0 if link is None else link.bytes_received
        return ParentStatus(self.name, round(self.watcher_age_s, 3), sent, received)

    async def run(self) -> None:
        """Follow the parent until the link is lost or this task is cancelled."""
        try:
            link = await dial(self._target.address, self._state.settings.link)
        except TransportError as error:
            _log.info("parent not reached", parent=self.name, error=str(error))
            self.ended = True
            return
        self._link = link
        try:
            await self._exchange(link)
        except (TransportError, CallError, msgspec.DecodeError) as error:
            _log.info("parent lost", parent=self.name, error=str(error))
        finally:
            self.ended = True
            self._session = None
            await link.close()

    async def report(self, report: Report) -> None:
        """Send the versions of this process and its descendants to the primary parent only."""
        if self._session is None or not (self.primary or self._reported):
            return
        self._reported = self.primary
        await self._session.post(report if self.primary else Report([], []))

    async def send(self, data: bytes) -> None:
        """Send an encoded message."""
        if self._session is not None:
            await self._session.post_encoded(data)

    async def _exchange(self, link: Link) -> None:
        """Join the parent and handle its messages."""
        call = await link.call(FOLLOW_PATH)
        session = PeerSession(call)
        self._session = session
        state = self._state
        member_table = state.members
        await session.post(
            Join(member_table.own, state.documents.version, member_table.digest, state.hosts.digest)
        )
        writer = await spawn_background(session.write)
        try:
            while (message := await session.receive()) is not None:
                await self._handle_message(session, message)
        finally:
            await writer.cancel(blocking=False)

    async def _handle_message(self, session: PeerSession, message: ControlMessage) -> None:
        """Handle one message."""
        match message:
            case DocumentsUpdate(data):
                await self._handle_update(session, data)
            case MemberRows(rows):
                await self._state.merge_rows(rows, session)
            case HostStates():
                if self.primary and not self._state.watching:
                    await self._state.apply_hosts(message)
            case Redirect(rows):
                self.redirected = True
                await self._state.merge_rows(rows, session)
            case Heartbeat():
                await self._handle_heartbeat(session, message)
            case _:
                _log.warning("unexpected message from a parent", parent=self.name)

    async def _handle_update(self, session: PeerSession, data: bytes) -> None:
        """Apply changed documents; request all documents if earlier changes are missing."""
        try:
            await self._state.apply_delta(decode_delta(data), self.name, session)
        except DistributionError as error:
            _log.warning("document changes not applicable", parent=self.name, error=str(error))
            await session.post(DocumentsRequest(0))

    async def _handle_heartbeat(self, session: PeerSession, heartbeat: Heartbeat) -> None:
        """Record the parent's state and request whatever differs."""
        state = self._state
        self._heartbeat = heartbeat
        self._heartbeat_at = state.now
        if heartbeat.version > state.documents.version:
            await session.post(DocumentsRequest(state.documents.version))
        if self._target.foreign or heartbeat.members_digest == state.members.digest:
            self._mismatched_heartbeats = 0
        else:
            self._mismatched_heartbeats += 1
        if self._mismatched_heartbeats >= SYNC_AFTER_HEARTBEATS:
            self._mismatched_heartbeats = 0
            await session.post(MemberRows(state.members.rows, reply=True))
        if not self.primary or state.watching or not heartbeat.hosts_digest:
            return
        if heartbeat.hosts_digest == state.hosts.digest:
            state.hosts.confirm(state.now)
        else:
            await session.post(HostsRequest())


class Parents:
    """Keep long calls to the best parents."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._parents: dict[str, Parent] = {}
        self._tasks: dict[str, Any] = {}
        self._avoid_until: dict[str, float] = {}
        self._lost: list[str] = []

    @property
    def all(self) -> list[Parent]:
        """Return connected and connecting parents, the primary one first."""
        return sorted(self._parents.values(), key=lambda parent: not parent.primary)

    @property
    def watcher_age_s(self) -> float:
        """Return the age of the newest watcher state received through any parent."""
        return min((parent.watcher_age_s for parent in self.all), default=UNKNOWN_AGE_S)

    @property
    def store_age_s(self) -> float:
        """Return the age of the store's newest confirmation through any parent."""
        return min((parent.store_age_s for parent in self.all), default=UNKNOWN_AGE_S)

    @property
    def hops(self) -> int:
        """Return the hops from a watcher of the parent with the newest watcher state."""
        best = min(self.all, key=lambda parent: parent.watcher_age_s, default=None)
        return 0 if best is None else best.hops

    def pop_lost(self) -> list[str]:
        """Return the parents whose links broke since the last call."""
        lost, self._lost = self._lost, []
        return lost

    async def follow(self, targets: list[ParentTarget], count: int) -> None:
        """Follow the first ``count`` targets that are not in their retry delay."""
        await self._drop_ended()
        now = self._state.now
        selected = [t for t in targets if self._avoid_until.get(t.name, 0.0) <= now][:count]
        for target in selected:
            if target.name not in self._parents:
                await self._start(target)
        names = [target.name for target in selected]
        await self._drop_unwanted(names)
        responsive = [name for name in names if self._parents[name].has_heartbeat]
        for parent in self._parents.values():
            parent.primary = parent.name == (responsive[0] if responsive else "")

    async def send(self, message: ControlMessage, exclude: object | None) -> None:
        """Send a message to all parents but one, encoded once."""
        data = encode_message(message)
        for parent in list(self._parents.values()):
            if parent.session is not exclude:
                await parent.send(data)

    async def report(self, report: Report) -> None:
        """Send a report to the parents; only the primary one gets its contents."""
        for parent in list(self._parents.values()):
            await parent.report(report)

    async def close(self) -> None:
        """Close the calls to all parents."""
        await self._drop_unwanted([], at_once=True)

    async def _start(self, target: ParentTarget) -> None:
        """Start a call to a parent."""
        parent = Parent(self._state, target)
        self._parents[target.name] = parent
        self._tasks[target.name] = await spawn_background(parent.run)

    async def _drop_ended(self) -> None:
        """Drop parents whose links broke or whose watcher state is stale."""
        timing = self._state.settings.timing
        for parent in list(self._parents.values()):
            silent = (
                parent.watcher_age_s > timing.stale_after_s
                and parent.running_s > timing.stale_after_s
            )
            if parent.ended and not parent.redirected:
                self._lost.append(parent.name)
            if parent.ended or (silent and not self._state.watching):
                self._avoid_until[parent.name] = self._state.now + timing.parent_retry_delay_s
                await self._drop(parent.name)

    async def _drop_unwanted(self, selected: list[str], at_once: bool = False) -> None:
        """Drop parents that are no longer selected, once a selected one sends heartbeats."""
        has_heartbeat = any(self._parents[name].has_heartbeat for name in selected)
        for name in [name for name in self._parents if name not in selected]:
            if has_heartbeat or at_once:
                await self._drop(name)

    async def _drop(self, name: str) -> None:
        """Cancel the call to a parent."""
        del self._parents[name]
        await self._tasks.pop(name).cancel()


def parent_target(row: MemberRow) -> ParentTarget:
    """Return the parent target of a member."""
    ip, _, port = row.address.rpartition(":")
    return ParentTarget(row.name, Address(ip, int(port)))
