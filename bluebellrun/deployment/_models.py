"""Routes, services, customers and limits, as one version of the configuration declares them."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its part of a route's requests, relative to the other shares."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go and what they are owed. Times in seconds.

    ``objective_s`` is the time to the first byte of an answer that counts as on time, and
    ``longest_pause_s`` the longest pause between two events of a stream that does. At most
    ``attempts`` upstreams run one request. Priority 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    attempts: int = 1
    streamed: bool = False
    resumable: bool = False
    longest_pause_s: float | None = None
    needs_key: bool = True

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be sent again after it may have run."""
        return self.repeat is Repeat.IDEMPOTENT or (self.streamed and self.resumable)


@dataclass(frozen=True, slots=True)
class DomainDelay:
    """The one-way delay between two failure domains, in seconds."""

    first: str
    second: str
    delay_s: float


@dataclass(frozen=True, slots=True)
class ExpertTerms:
    """Sizes of the expert layers that the ranks of a group share.

    ``layers`` sets of ``experts`` experts; a rank holds ``slots`` experts of each layer, of which
    one change may replace ``most_new``. ``copy_bytes`` is the size of one expert, and ``share``
    the part of a token's work that experts do.
    """

    layers: int
    experts: int
    slots: int
    most_new: int
    copy_bytes: float
    share: float


@dataclass(frozen=True, slots=True)
class EngineTerms:
    """How fast a model engine works. Times in seconds.

    A pass lasts ``step_s`` a step, plus ``writer_s`` for each request that is being answered and
    ``context_s`` for each of its tokens of context. Prompts are read at ``read_tokens_per_s``, at
    most ``chunk_tokens`` a step, plus ``pair_s`` for each pair of a token and an earlier one. A
    pass with writers makes ``stride`` steps.
    """

    slots: int
    memory_tokens: int
    step_s: float
    writer_s: float
    context_s: float
    read_tokens_per_s: float
    pair_s: float
    chunk_tokens: int
    stride: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    report_lag_s: float = 0.0
    forming_s: float = 0.0
    link_bytes_per_s: float = 0.0
    experts: ExpertTerms | None = None


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """A service: how its upstreams are checked, how many connections each takes, its engine.

    Its upstreams are cold for ``cold_s`` seconds after their start; while cold, each takes
    ``cold_per_s`` requests a second from all entries together, without a bound if that is 0.
    """

    name: str
    health_path: str
    most_connections: int
    engine: EngineTerms | None = None
    delays: tuple[DomainDelay, ...] = ()
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take. Sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its keys; its priority, if it has one, goes before a route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class Deployment:
    """One version of the configuration, in full.

    ``revision`` is the store's revision of its last write. Only versions always grow: a restored
    store gives out revisions again.
    """

    version: int
    revision: int
    routes: Sequence[Route]
    services: dict[str, ServiceTerms]
    customers: Sequence[Customer]
    checks_keys: bool
    limits: CallerLimits = field(default_factory=CallerLimits)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix, and the customers by key."""
        routes: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            routes.setdefault(route.host.lower(), {})[route.prefix] = route
        keys = {key: customer for customer in self.customers for key in customer.keys}
        object.__setattr__(self, "_routes", routes)
        object.__setattr__(self, "_keys", keys)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path, or none."""
        routes: dict[str, Route] = self._routes.get(host.lower(), {})  # type: ignore[attr-defined]
        end = len(path)
        while routes and (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_customer(self, key: str | None) -> Customer | None:
        """Return the customer that holds a key, or none."""
        found: Customer | None = self._keys.get(key)  # type: ignore[attr-defined]
        return found

    def is_newer_than(self, other: "Deployment | None") -> bool:
        """Return whether this version replaces another one."""
        return other is None or self.version > other.version
