"""The platform's services: ports, and clients that know their wire format."""

from bluebellrun.platform._backoff import Backoff
from bluebellrun.platform._breaker import CircuitBreaker
from bluebellrun.platform._budget import CallAccount, RatePart, StoreRates, TokenBucket
from bluebellrun.platform._etcd import EtcdStore
from bluebellrun.platform._exceptions import (
    CallRefusedError,
    CompactedError,
    PlatformError,
    StoreAnswerLostError,
    StoreUnavailableError,
    WeightsBusyError,
    WeightsError,
    WeightsNotFoundError,
)
from bluebellrun.platform._follow import PrefixFollower
from bluebellrun.platform._guard import GuardedStore
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
from bluebellrun.platform._nonce import transact_with_nonce
from bluebellrun.platform._ports import KeyValueStore, Watch
from bluebellrun.platform._weights import Weights, WeightStore

__all__ = [
    "Backoff",
    "CallAccount",
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
    "RatePart",
    "Snapshot",
    "StoreAnswerLostError",
    "StoreRates",
    "StoreTimeouts",
    "StoreUnavailableError",
    "TokenBucket",
    "TransactionResult",
    "Watch",
    "WatchEvent",
    "WeightStore",
    "Weights",
    "WeightsBusyError",
    "WeightsError",
    "WeightsNotFoundError",
    "transact_with_nonce",
]
