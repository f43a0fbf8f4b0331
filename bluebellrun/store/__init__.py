"""Ports and clients of the external services: key-value store, host list and weight store.

Optional clients are imported on first use, because the libraries that they depend on cost
start-up time and memory.
"""

from typing import TYPE_CHECKING

from bluebellrun.core import load_at_first_use
from bluebellrun.store._backoff import Backoff
from bluebellrun.store._breaker import CircuitBreaker
from bluebellrun.store._budget import CallCounts, RateQuota, StoreRates
from bluebellrun.store._exceptions import (
    CallRefusedError,
    CompactedError,
    PlatformError,
    StoreAnswerLostError,
    StoreAnswerTooLongError,
    StoreUnavailableError,
    WeightsBusyError,
    WeightsError,
    WeightsNotFoundError,
)
from bluebellrun.store._follow import CHECK_INTERVAL_S, PrefixFollower
from bluebellrun.store._guard import GuardedStore
from bluebellrun.store._models import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StorePosition,
    StoreTimeouts,
    TransactionResult,
    WatchEvent,
    WatchTiming,
)
from bluebellrun.store._nonce import transact_with_nonce
from bluebellrun.store._ports import KeyValueStore, Watch

if TYPE_CHECKING:
    from bluebellrun.store._etcd import EtcdStore
    from bluebellrun.store._hosts import HostEntry, HostList, HostState
    from bluebellrun.store._weights import Weights, WeightStore

_LOADED_AT_FIRST_USE = {
    "EtcdStore": "_etcd",
    "HostEntry": "_hosts",
    "HostList": "_hosts",
    "HostState": "_hosts",
    "WeightStore": "_weights",
    "Weights": "_weights",
}

__all__ = [
    "CHECK_INTERVAL_S",
    "Backoff",
    "CallCounts",
    "CallRefusedError",
    "CircuitBreaker",
    "CompactedError",
    "Compare",
    "EtcdStore",
    "GuardedStore",
    "HostEntry",
    "HostList",
    "HostState",
    "KeyValue",
    "KeyValueStore",
    "PlatformError",
    "PrefixFollower",
    "Put",
    "RateQuota",
    "Snapshot",
    "StoreAnswerLostError",
    "StoreAnswerTooLongError",
    "StorePosition",
    "StoreRates",
    "StoreTimeouts",
    "StoreUnavailableError",
    "TransactionResult",
    "Watch",
    "WatchEvent",
    "WatchTiming",
    "WeightStore",
    "Weights",
    "WeightsBusyError",
    "WeightsError",
    "WeightsNotFoundError",
    "transact_with_nonce",
]

__getattr__ = load_at_first_use(__name__, _LOADED_AT_FIRST_USE)
