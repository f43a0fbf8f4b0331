"""The settings of one process: its host, its addresses and the bounds it has to keep."""

from dataclasses import dataclass, field

from bluebellrun.core import Address


@dataclass(frozen=True, slots=True)
class ReservedPorts:
    """The ports of a host that the project's processes may listen on, first and last included."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class StoreTerms:
    """Where the store is and what it allows, over all processes together."""

    address: Address
    writes_per_s: float
    reads_per_s: float
    shortest_lease_s: float


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that users hold the system to, in seconds, and the bounds of retries.

    ``calm_s`` after trouble has ended all bounds hold again; ``apply_s`` is the longest that a
    change of the configuration may take to be in force, ``evacuation_s`` that of an evacuation.
    Within ``retry_window_s`` a service gets at most ``retry_ratio`` times its requests, plus
    ``retry_slack``, as further sends, over all entries together. A cold upstream gets from them in
    any second at most ``cold_excess`` times the rate of its service, plus ``cold_slack``.
    """

    drain_s: float = 2.0
    stop_grace_s: float = 8.0
    apply_s: float = 2.0
    calm_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 90.0
    fenced_orders: bool = True
    evacuation_s: float = 5.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What a process is told at its start.

    ``link_bits_s``, ``memory_bytes`` and ``max_descriptors`` are 0 where they are not told.
    ``callers`` is none where it serves no callers, ``upstream`` where no upstream runs beside it.
    With ``load_shedding``, gateways delay or refuse what costs callers least when a model group's
    slots do not suffice.
    """

    host: str
    ip: str
    failure_domain: str
    region: str
    store: StoreTerms
    ports: ReservedPorts
    callers: Address | None = None
    readiness: Address | None = None
    upstream: Address | None = None
    memory_bytes: int = 0
    link_bits_s: float = 0.0
    bounds: Bounds = field(default_factory=Bounds)
    load_shedding: bool = False
    max_descriptors: int = 0
