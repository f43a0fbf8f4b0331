"""The gateway: an entry that sends callers' requests straight to upstreams."""

from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._events import EventSplitter, WholeEvents
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._gateway import Gateway
from bluebellrun.gateway._models import (
    Answered,
    Attempt,
    BrokenOff,
    CallerRequest,
    Refused,
    Result,
    Unresolved,
    Upstream,
    UpstreamAnswer,
)
from bluebellrun.gateway._news import (
    ConfigurationWritten,
    News,
    RecordWritten,
    StoreReader,
    Unreadable,
    UpstreamRemoved,
    UpstreamWritten,
)
from bluebellrun.gateway._ports import (
    BadRequestError,
    OrderReply,
    RankCallError,
    RankCalls,
    RankReplacedError,
    Wire,
)
from bluebellrun.gateway._relay import Relay
from bluebellrun.gateway._store_view import StoreView

__all__ = [
    "Answered",
    "Attempt",
    "BadRequestError",
    "BrokenOff",
    "CallerRequest",
    "ConfigurationWritten",
    "EventSplitter",
    "Fleet",
    "Gateway",
    "News",
    "OrderReply",
    "RankCallError",
    "RankCalls",
    "RankReplacedError",
    "RecordWritten",
    "Refused",
    "Relay",
    "Result",
    "StoreReader",
    "StoreView",
    "Unreadable",
    "Unresolved",
    "Upstream",
    "UpstreamAnswer",
    "UpstreamDirectory",
    "UpstreamRemoved",
    "UpstreamWritten",
    "WholeEvents",
    "Wire",
]
