"""Control plane messages: configuration, members and host states.

Each child keeps one bidirectional streaming call open to its parent; two unary calls fetch a
process's documents or its status. Ages are in seconds; digests are 64-bit hashes.
"""

import msgspec

from bluebellrun.membership import MemberRow

FOLLOW_PATH = "/bluebellrun.Node/Follow"
GATHER_PATH = "/bluebellrun.Node/Gather"
STATUS_PATH = "/bluebellrun.Node/Status"


class Join(msgspec.Struct, frozen=True, tag="join"):
    """First message of a child: its member row, document version and table digests."""

    row: MemberRow
    version: int
    members_digest: int
    hosts_digest: int


class DocumentsUpdate(msgspec.Struct, frozen=True, tag="news"):
    """Changed documents, encoded by ``distribution``."""

    data: bytes


class DocumentsRequest(msgspec.Struct, frozen=True, tag="want"):
    """Requests the documents changed after a version; 0 requests all documents."""

    version: int


class MemberRows(msgspec.Struct, frozen=True, tag="rows"):
    """Rows of the member table; ``reply`` requests the receiver's full table."""

    rows: list[MemberRow]
    reply: bool = False


class HostStates(msgspec.Struct, frozen=True, tag="hosts"):
    """The sender's full host table."""

    states: dict[str, str]
    gone: list[str]


class HostsRequest(msgspec.Struct, frozen=True, tag="want-hosts"):
    """Requests the receiver's host table."""


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """A parent's version and digests, its hops to a watcher and the age of its store data."""

    version: int
    digest: int
    members_digest: int
    hosts_digest: int
    hops: int
    watcher_age_s: float
    store_age_s: float


class VersionCount(msgspec.Struct, frozen=True, array_like=True):
    """The number of processes that run a version."""

    version: int
    count: int


class LaggingNode(msgspec.Struct, frozen=True, array_like=True):
    """A process that does not run the newest version."""

    name: str
    version: int


class Report(msgspec.Struct, frozen=True, tag="report"):
    """Versions run in a child's subtree; ``behind`` is truncated to a maximum length."""

    counts: list[VersionCount]
    behind: list[LaggingNode]


class Redirect(msgspec.Struct, frozen=True, tag="redirect"):
    """The parent is at capacity; ``rows`` are members to try instead."""

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
    """Requests the documents changed after a version, and the members."""

    version: int


class GatherReply(msgspec.Struct, frozen=True):
    """Changed documents and the members of a failure domain.

    ``news`` is none if the requester is up to date.
    """

    failure_domain: str
    version: int
    news: bytes | None
    rows: list[MemberRow]


class StatusRequest(msgspec.Struct, frozen=True):
    """Requests a process's status, with its member rows if ``members`` is set."""

    members: bool = False


class ParentStatus(msgspec.Struct, frozen=True):
    """A parent of a process, and the bytes sent and received on the link to it."""

    name: str
    watcher_age_s: float
    bytes_sent: int
    bytes_received: int


class StoreCalls(msgspec.Struct, frozen=True):
    """Counts of a process's calls to the key-value store since it started."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failures: int = 0
    over_budget: int = 0


class NodeStatus(msgspec.Struct, frozen=True):
    """A process's own status; ``source`` is a parent's name, or ``store``."""

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
    """Decode a message of a streaming call; raise ``msgspec.DecodeError`` if it is malformed."""
    return _control_decoder.decode(data)


def decode_gather_request(data: bytes) -> GatherRequest:
    """Decode a request for documents; raise ``msgspec.DecodeError`` if it is malformed."""
    return _gather_request_decoder.decode(data)


def decode_gather_reply(data: bytes) -> GatherReply:
    """Decode a reply with documents; raise ``msgspec.DecodeError`` if it is malformed."""
    return _gather_reply_decoder.decode(data)


def decode_status_request(data: bytes) -> StatusRequest:
    """Decode a status request; raise ``msgspec.DecodeError`` if it is malformed."""
    return _status_request_decoder.decode(data)


def decode_status(data: bytes) -> NodeStatus:
    """Decode a status; raise ``msgspec.DecodeError`` if it is malformed."""
    return _status_decoder.decode(data)
