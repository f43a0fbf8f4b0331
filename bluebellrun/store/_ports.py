"""What the rest of the project asks of the key-value service."""

from collections.abc import Sequence
from typing import Protocol

from bluebellrun.store._models import (
    Compare,
    Put,
    Snapshot,
    TransactionResult,
    WatchEvent,
)


class Watch(Protocol):
    """A stream of changes below a prefix."""

    async def next(self) -> list[WatchEvent]:
        """Return the next changes, in order; raise ``PlatformError`` when the stream ends.

        An empty list is the store's word that nothing has changed so far.
        """

    async def close(self) -> None:
        """End the watch."""


class KeyValueStore(Protocol):
    """The key-value service. Raises ``StoreUnavailableError``, ``StoreAnswerLostError``."""

    async def get(self, key: str) -> Snapshot:
        """Read one key."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix."""

    async def read_revisions(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix without their values."""

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        """Do all writes if all conditions hold, or none."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 means it has lapsed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; keys bound to it are deleted."""

    async def watch(self, prefix: str, from_revision: int) -> Watch:
        """Follow changes below a prefix from a revision on."""
