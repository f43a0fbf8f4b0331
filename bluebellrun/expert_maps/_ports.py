"""Interfaces of what the managers of expert maps need: ranks, upstreams and the store's records."""

from enum import Enum
from typing import Protocol

from bluebellrun.gateway._models import Upstream, UpstreamIncarnation
from bluebellrun.placement import RankCounts, RankOrder, RankState
from bluebellrun.store import StorePosition


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


class Registrations(Protocol):
    """The upstreams that are registered."""

    def of_service(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service, also those that are leaving or lapsed."""

    def mark_replaced(self, incarnation: UpstreamIncarnation) -> None:
        """Drop an upstream's incarnation because another upstream has its address."""


class StoredRecord(Protocol):
    """A record of the project's own in the store."""

    @property
    def value(self) -> bytes | None:
        """Return the value, none if the record was deleted."""

    @property
    def position(self) -> StorePosition:
        """Return when it was written, in the store's history."""


class StoreRecords(Protocol):
    """This process's copy of the records; times in seconds."""

    @property
    def confirmed_at(self) -> float | None:
        """Return when the store last confirmed that nothing was missed, or none."""

    def record(self, key: str) -> StoredRecord | None:
        """Return a record, or none."""
