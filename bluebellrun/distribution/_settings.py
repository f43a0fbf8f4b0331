"""Settings of a control plane node."""

from dataclasses import dataclass, field

from bluebellrun.core import Address
from bluebellrun.membership import SuspicionTiming
from bluebellrun.store import StoreRates
from bluebellrun.transport import LinkTiming


@dataclass(frozen=True, slots=True)
class NodeTiming:
    """Times in seconds.

    A parent without fresh watcher state for ``stale_after_s`` is replaced. A process without
    fresh watcher state from any parent for ``isolation_timeout_s``, jittered, watches the store
    itself. While others watch, a changed rank must persist for ``settle_s`` before this process
    starts or stops.
    """

    heartbeat_interval_s: float = 1.0
    poll_interval_s: float = 0.25
    stale_after_s: float = 4.0
    isolation_timeout_s: float = 15.0
    settle_s: float = 2.0
    parent_retry_delay_s: float = 5.0
    child_reconnect_s: float = 2.0
    directory_interval_s: float = 15.0
    min_hosts_interval_s: float = 1.0
    request_timeout_s: float = 1.5


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """A node's identity, peers and limits."""

    name: str
    role: str
    host: str
    region: str
    failure_domain: str
    prefix: str
    seeds: tuple[Address, ...] = ()
    rates: StoreRates = field(default_factory=StoreRates)
    timing: NodeTiming = field(default_factory=NodeTiming)
    suspicion: SuspicionTiming = field(default_factory=SuspicionTiming)
    link: LinkTiming = field(default_factory=LinkTiming)
    watchers: int = 3
    fanout: int = 8
    max_children: int = 48
