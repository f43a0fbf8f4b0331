"""Calls from this process's children."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import msgspec

from bluebellrun.distribution._session import PeerSession
from bluebellrun.distribution._state import NodeState
from bluebellrun.membership import MemberRow, MemberState
from bluebellrun.messages import (
    ControlMessage,
    DocumentsRequest,
    DocumentsUpdate,
    HostsRequest,
    Join,
    LaggingNode,
    MemberRows,
    Redirect,
    Report,
    VersionCount,
    encode_message,
)
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import get_logger
from bluebellrun.transport import Call, CallError, LinkLostError

MAX_LAGGING_NODES = 50
REDIRECT_ROWS = 16
STATUS_INVALID = 3

ChildLostCallback = Callable[[MemberRow], Awaitable[None]]

_log = get_logger("distribution.children")


@dataclass(slots=True, eq=False)
class _Child:
    """One child: its row when it joined, its session and its last report."""

    row: MemberRow
    session: PeerSession
    report: Report = field(default_factory=lambda: Report([], []))


class Children:
    """Serve the calls of children and send them updates."""

    def __init__(self, state: NodeState, on_lost: ChildLostCallback) -> None:
        self._state = state
        self._on_lost = on_lost
        self._children: dict[str, _Child] = {}

    @property
    def names(self) -> list[str]:
        """Return the children's names, sorted."""
        return sorted(self._children)

    async def serve(self, call: Call) -> None:
        """Serve a child's long call until it ends."""
        session = PeerSession(call)
        writer = await spawn_background(session.write)
        child: _Child | None = None
        try:
            first = await session.receive()
            if not isinstance(first, Join):
                raise CallError(STATUS_INVALID, "the first message must be a join")
            if self._is_full(first.row.name):
                await self._redirect(session)
                return
            child = _Child(first.row, session)
            self._children[first.row.name] = child
            await self._send_initial_state(child, first)
            await self._handle_messages(child)
        except msgspec.DecodeError as error:
            raise CallError(STATUS_INVALID, str(error)) from error
        except LinkLostError:
            return
        finally:
            await writer.cancel(blocking=False)
            if child is not None:
                await self._remove(child)

    async def send(self, message: ControlMessage, exclude: object | None) -> None:
        """Send a message to all children but one, encoded once."""
        data = encode_message(message)
        for child in list(self._children.values()):
            if child.session is not exclude:
                await child.session.post_encoded(data)

    def report(self) -> Report:
        """Return the versions in force in this process and its descendants."""
        version = self._state.follower.version
        counts = {version: 1}
        behind = [LaggingNode(self._state.settings.name, version)]
        for child in self._children.values():
            for item in child.report.counts:
                counts[item.version] = counts.get(item.version, 0) + item.count
            behind += child.report.behind
        newest = max(counts)
        lagging = [item for item in behind if item.version < newest][:MAX_LAGGING_NODES]
        reported = lagging or behind[:1]
        return Report([VersionCount(v, n) for v, n in sorted(counts.items())], reported)

    def _is_full(self, name: str) -> bool:
        """Return whether the maximum number of other children is reached."""
        others = len(self._children) - (name in self._children)
        return others >= self._state.settings.max_children

    async def _redirect(self, session: PeerSession) -> None:
        """Send the child some live members to try instead."""
        rows = [row for row in self._state.members.rows if row.state is MemberState.LIVE]
        await session.post(Redirect(rows[:REDIRECT_ROWS]))
        await curio.sleep(self._state.settings.timing.poll_interval_s)

    async def _send_initial_state(self, child: _Child, join: Join) -> None:
        """Send a new child the documents, members and hosts that it lacks."""
        state = self._state
        await state.merge_rows([join.row], child.session)
        await self._send_since(child, join.version)
        same_domain = join.row.failure_domain == state.settings.failure_domain
        if same_domain and join.members_digest != state.members.digest:
            await child.session.post(MemberRows(state.members.rows))
        if state.hosts.digest and join.hosts_digest != state.hosts.digest:
            await child.session.post(state.hosts_message())

    async def _handle_messages(self, child: _Child) -> None:
        """Handle a child's messages until it ends the call."""
        while (message := await child.session.receive()) is not None:
            match message:
                case MemberRows(rows, reply):
                    await self._state.merge_rows(rows, child.session)
                    if reply:
                        await child.session.post(MemberRows(self._state.members.rows))
                case Report():
                    child.report = message
                case DocumentsRequest(version):
                    await self._send_since(child, version)
                case HostsRequest():
                    await child.session.post(self._state.hosts_message())
                case _:
                    _log.warning("unexpected message from a child", child=child.row.name)

    async def _send_since(self, child: _Child, version: int) -> None:
        """Send a child the documents changed after a version."""
        encoded = self._state.encoded_since(version)
        if encoded is not None:
            await child.session.post(DocumentsUpdate(encoded))

    async def _remove(self, child: _Child) -> None:
        """Remove a child whose call ended, unless it reconnected, and report it as lost."""
        if self._children.get(child.row.name) is not child:
            return
        del self._children[child.row.name]
        if not self._state.stopping:
            await spawn_background(self._on_lost, child.row)
