"""The platform's services: ports, and clients that know their wire format."""

from bluebellrun.platform._etcd import EtcdStore
from bluebellrun.platform._exceptions import (
    CompactedError,
    PlatformError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from bluebellrun.platform._hosts import HostEntry, HostList, HostState
from bluebellrun.platform._models import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StoreTimeouts,
    TransactionResult,
    WatchEvent,
)
from bluebellrun.platform._ports import KeyValueStore, Watch

__all__ = [
    "CompactedError",
    "Compare",
    "EtcdStore",
    "HostEntry",
    "HostList",
    "HostState",
    "KeyValue",
    "KeyValueStore",
    "PlatformError",
    "Put",
    "Snapshot",
    "StoreAnswerLostError",
    "StoreTimeouts",
    "StoreUnavailableError",
    "TransactionResult",
    "Watch",
    "WatchEvent",
]
