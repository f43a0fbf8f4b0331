"""Interfaces that the platform's adapter implements for the gateway."""

from enum import Enum
from typing import Protocol

from bluebellrun.gateway._models import Attempt, CallerRequest, Upstream, UpstreamAnswer
from bluebellrun.http import AcceptResponse, Headers, HttpRequest
from bluebellrun.placement import RankCounts, RankOrder, RankState


class BadRequestError(Exception):
    """A caller's request that cannot be understood; the text names the bad value."""


class Wire(Protocol):
    """Translate between HTTP messages and the gateway's types."""

    def read_request(self, request: HttpRequest, received: float) -> CallerRequest:
        """Read a caller's request; raise ``BadRequestError``."""

    def upstream_headers(self, request: CallerRequest, attempt: Attempt) -> Headers:
        """Return the headers of a request to an upstream."""

    def answers_to(self, request: CallerRequest) -> AcceptResponse:
        """Return a test of whether a response answers this request and no other."""

    def read_answer(self, status: int, headers: Headers) -> UpstreamAnswer:
        """Read the head of an upstream's response."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer that the gateway generates itself."""


class RankCallError(Exception):
    """A rank did not answer, or its answer cannot be read; an order may still be carried out."""


class RankReplacedError(RankCallError):
    """Another upstream has the rank's address: this incarnation of the rank has ended."""


class OrderReply(Enum):
    """A rank's reply to an order."""

    # The order has begun or is recorded.
    ACCEPTED = "accepted"
    # The ordered state is already reached.
    DONE = "done"
    # The order does not fit the rank's state; read the state again.
    CONFLICT = "conflict"
    # The rank has seen a higher fencing number: another process acts for the group.
    FENCED = "fenced"


class RankCalls(Protocol):
    """Calls to the ranks of a group. Raises ``RankCallError``."""

    async def state(self, upstream: Upstream) -> RankState | None:
        """Return the state of an upstream's rank, none if it is no rank of a group."""

    async def counts(self, upstream: Upstream, rank: int) -> RankCounts:
        """Return how often the rank's requests chose each expert."""

    async def placement_held(self, upstream: Upstream) -> list[frozenset[int]]:
        """Return the experts that a rank holds in use, layer by layer."""

    async def send_order(
        self, upstream: Upstream, order: RankOrder, epoch: int, fencing: int
    ) -> OrderReply:
        """Send an order."""

    async def forget(self, instance: str) -> None:
        """Close the connections to a removed upstream."""
