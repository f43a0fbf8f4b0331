"""The gateway's data: a caller's request, an upstream's answer, and the result."""

from dataclasses import dataclass, field

from xxhash import xxh64_hexdigest

from bluebellrun.core import Address
from bluebellrun.http import Headers


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as its caller sent it, complete. Times in seconds of the monotonic clock.

    ``headers`` are forwarded to the upstream unchanged. ``caller_timeout_s`` is how long the
    caller waits from ``received`` on, none if it did not say. Token counts are 0 where none were
    given; ``answer_tokens`` is the maximum and ``expected_tokens`` the caller's estimate.
    ``prompt_parts`` are the ids of the prompt's parts in order; the last one belongs to the request
    or its session alone.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    received: float
    caller_timeout_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    expected_tokens: int = 0
    last_event_id: int | None = None
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may have too."""
        return self.prompt_parts[:-1]

    @property
    def prompt_digest(self) -> str:
        """Return a digest of the whole prompt, empty if the request has none."""
        return xxh64_hexdigest(",".join(self.prompt_parts).encode()) if self.prompt_parts else ""


# An upstream's instance and its start in Unix milliseconds.
UpstreamIncarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of a back end. ``instance`` names it and is never given to another one.

    A back end may restart under the same instance; ``started_ms`` is its start in Unix
    milliseconds. Its registration says that it stays cold for ``cold_left_s``.
    """

    instance: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    cold_left_s: float = 0.0

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return the key that distinguishes this incarnation from others of its instance."""
        return self.instance, self.started_ms


@dataclass(frozen=True, slots=True)
class Attempt:
    """What is sent along with the caller's request; ``remaining_s`` is the time left."""

    upstream: Upstream
    remaining_s: float
    customer: str | None
    urgency: int
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """An upstream takes this many requests a second from all entries together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class NoLimit:
    """An upstream names no limit."""


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """An upstream names a limit that is no number of requests; it changes nothing."""

    text: str


LimitNotice = NamedLimit | NoLimit | UnreadableLimit


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The head of an upstream's answer; ``headers`` are those the caller gets.

    ``not_run`` means that the upstream guarantees that the request did not run, ``misdirected``
    that another upstream now has its address, and ``leaving`` that it is about to stop.
    ``retry_after_s`` is the backoff that it asks of this process, none if it did not say, and
    ``limit`` the rate that it accepts from all entries together. ``names_request`` means that it
    echoes the request's id, and ``is_stream`` that its body is a series of events. ``cold_s`` is
    how much longer the upstream is cold, none if it does not say.
    """

    status: int
    headers: Headers
    not_run: bool = False
    misdirected: bool = False
    leaving: bool = False
    retry_after_s: float | None = None
    limit: LimitNotice = field(default_factory=NoLimit)
    names_request: bool = True
    is_stream: bool = True
    cold_s: float | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether the answer is a success."""
        return 200 <= self.status < 300

    @property
    def failed(self) -> bool:
        """Return whether the upstream itself failed at the request."""
        return self.status >= 500


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller has the upstream's complete answer."""

    status: int
    upstream: str
    attempts: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run and will not. ``retry_after_s`` tells when to retry."""

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unresolved:
    """The request may have run; no complete answer arrived."""

    status: int
    reason: str
    attempts: int


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The answer had begun and could not be completed; the caller's connection is closed."""

    reason: str
    attempts: int


Result = Answered | Refused | Unresolved | BrokenOff
