"""The gateway: an entry that sends callers' requests directly to upstreams.

Submodules are imported on first use, because the program listens before it loads its code.
"""

from typing import TYPE_CHECKING

from bluebellrun.core import load_at_first_use

if TYPE_CHECKING:
    from bluebellrun.gateway._directory import UpstreamDirectory
    from bluebellrun.gateway._events import CompleteEvents, EventSplitter
    from bluebellrun.gateway._fleet import Fleet
    from bluebellrun.gateway._gateway import Gateway
    from bluebellrun.gateway._models import (
        Answered,
        Attempt,
        BrokenOff,
        CallerRequest,
        LimitNotice,
        NamedLimit,
        NoLimit,
        Refused,
        Result,
        UnreadableLimit,
        Unresolved,
        Upstream,
        UpstreamAnswer,
    )
    from bluebellrun.gateway._ports import BadRequestError, Wire
    from bluebellrun.gateway._relay import Relay
    from bluebellrun.gateway._store_changes import (
        ConfigurationWritten,
        DomainEvacuated,
        EvacuationWithdrawn,
        RecordWritten,
        StoreChange,
        StoreReader,
        Unreadable,
        UpstreamRemoved,
        UpstreamWritten,
    )
    from bluebellrun.gateway._store_view import StoreView

_LOADED_AT_FIRST_USE = {
    "Answered": "_models",
    "Attempt": "_models",
    "BadRequestError": "_ports",
    "BrokenOff": "_models",
    "CallerRequest": "_models",
    "ConfigurationWritten": "_store_changes",
    "DomainEvacuated": "_store_changes",
    "EvacuationWithdrawn": "_store_changes",
    "EventSplitter": "_events",
    "Fleet": "_fleet",
    "Gateway": "_gateway",
    "LimitNotice": "_models",
    "NamedLimit": "_models",
    "NoLimit": "_models",
    "StoreChange": "_store_changes",
    "RecordWritten": "_store_changes",
    "Refused": "_models",
    "Relay": "_relay",
    "Result": "_models",
    "StoreReader": "_store_changes",
    "StoreView": "_store_view",
    "Unreadable": "_store_changes",
    "UnreadableLimit": "_models",
    "Unresolved": "_models",
    "Upstream": "_models",
    "UpstreamAnswer": "_models",
    "UpstreamDirectory": "_directory",
    "UpstreamRemoved": "_store_changes",
    "UpstreamWritten": "_store_changes",
    "CompleteEvents": "_events",
    "Wire": "_ports",
}

__all__ = [
    "Answered",
    "Attempt",
    "BadRequestError",
    "BrokenOff",
    "CallerRequest",
    "CompleteEvents",
    "ConfigurationWritten",
    "DomainEvacuated",
    "EvacuationWithdrawn",
    "EventSplitter",
    "Fleet",
    "Gateway",
    "LimitNotice",
    "NamedLimit",
    "NoLimit",
    "RecordWritten",
    "Refused",
    "Relay",
    "Result",
    "StoreChange",
    "StoreReader",
    "StoreView",
    "Unreadable",
    "UnreadableLimit",
    "Unresolved",
    "Upstream",
    "UpstreamAnswer",
    "UpstreamDirectory",
    "UpstreamRemoved",
    "UpstreamWritten",
    "Wire",
]

__getattr__ = load_at_first_use(__name__, _LOADED_AT_FIRST_USE)
