"""Messages of the control plane: configuration, members and hosts between processes.

One long call per child and parent carries them both ways; two unary calls fetch a process's
documents or its status. Ages are in seconds; digests are 64-bit hashes.
"""

import msgspec

from bluebellrun.membership import MemberRow

FOLLOW_PATH = "/bluebellrun.Node/Follow"
GATHER_PATH = "/bluebellrun.Node/Gather"
STATUS_PATH = "/bluebellrun.Node/Status"


class Join(msgspec.Struct, frozen=True, tag="join"):
    """First message of a child: who it is and what it has."""

    row: MemberRow
    version: int
    members_digest: int
    hosts_digest: int


class DocumentsUpdate(msgspec.Struct, frozen=True, tag="news"):
    """Changed documents, encoded by ``distribution``."""

    data: bytes


class DocumentsRequest(msgspec.Struct, frozen=True, tag="want"):
    """Ask for all documents changed after a version; 0 asks for all there are."""

    version: int


class MemberRows(msgspec.Struct, frozen=True, tag="rows"):
    """Members' rows; ``reply`` asks for the receiver's whole table."""

    rows: list[MemberRow]
    reply: bool = False


class HostStates(msgspec.Struct, frozen=True, tag="hosts"):
    """The sender's whole host table."""

    states: dict[str, str]
    gone: list[str]


class HostsRequest(msgspec.Struct, frozen=True, tag="want-hosts"):
    """Ask for the receiver's host table."""


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """What a parent has, how far it is from a watcher and how old its news of the store is."""

    version: int
    digest: int
    members_digest: int
    hosts_digest: int
    hops: int
    watcher_age_s: float
    store_age_s: float


class VersionCount(msgspec.Struct, frozen=True, array_like=True):
    """How many processes have a version in force."""

    version: int
    count: int


class LaggingNode(msgspec.Struct, frozen=True, array_like=True):
    """A process whose version is not the newest."""

    name: str
    version: int


class Report(msgspec.Struct, frozen=True, tag="report"):
    """What a child and all below it have in force; ``behind`` is cut to a bound."""

    counts: list[VersionCount]
    behind: list[LaggingNode]


class Redirect(msgspec.Struct, frozen=True, tag="redirect"):
    """The parent has no room; some members to try instead."""

    rows: list[MemberRow]


ControlMessage = (
    Join
    | DocumentsUpdate
    | DocumentsRequest
    | MemberRows
    | HostStates
    | HostsRequest
    | Heartbeat
    | Report
    | Redirect
)


class GatherRequest(msgspec.Struct, frozen=True):
    """Ask for the newest documents after a version, and for the members."""

    version: int


class GatherReply(msgspec.Struct, frozen=True):
    """The newest documents, none when the asker has them; and the members of a domain."""

    failure_domain: str
    version: int
    news: bytes | None
    rows: list[MemberRow]


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask for a process's status; with ``members``, for its rows as well."""

    members: bool = False


class ParentStatus(msgspec.Struct, frozen=True):
    """One process that this one hears from, and the bytes on the link to it."""

    name: str
    watcher_age_s: float
    bytes_sent: int
    bytes_received: int


class StoreCalls(msgspec.Struct, frozen=True):
    """Calls that a process made to the key-value service since it started."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failures: int = 0
    over_budget: int = 0


class NodeStatus(msgspec.Struct, frozen=True):
    """What a process knows of itself; ``source`` is a parent's name, or ``store``."""

    row: MemberRow
    version: int
    digest: int
    age_s: float
    source: str
    ready: bool
    watcher: bool
    hops: int
    watcher_age_s: float
    store_age_s: float
    members: dict[str, int]
    report: Report
    parents: list[ParentStatus]
    children: list[str]
    calls: StoreCalls
    rows: list[MemberRow] = []


_control_decoder = msgspec.msgpack.Decoder(ControlMessage)
_gather_request_decoder = msgspec.msgpack.Decoder(GatherRequest)
_gather_reply_decoder = msgspec.msgpack.Decoder(GatherReply)
_status_request_decoder = msgspec.msgpack.Decoder(StatusRequest)
_status_decoder = msgspec.msgpack.Decoder(NodeStatus)


def decode_control(data: bytes) -> ControlMessage:
    """Read a message of a long call; raise ``msgspec.DecodeError`` if it is malformed."""
    return _control_decoder.decode(data)


def decode_gather_request(data: bytes) -> GatherRequest:
    """Read a request for documents; raise ``msgspec.DecodeError`` if it is malformed."""
    return _gather_request_decoder.decode(data)


def decode_gather_reply(data: bytes) -> GatherReply:
    """Read a reply with documents; raise ``msgspec.DecodeError`` if it is malformed."""
    return _gather_reply_decoder.decode(data)


def decode_status_request(data: bytes) -> StatusRequest:
    """Read a request for a status; raise ``msgspec.DecodeError`` if it is malformed."""
    return _status_request_decoder.decode(data)


def decode_status(data: bytes) -> NodeStatus:
    """Read a status; raise ``msgspec.DecodeError`` if it is malformed."""
    return _status_decoder.decode(data)
