"""Interfaces of the key-value service that the rest of the project uses."""

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
    """A stream of changes to the keys with a prefix."""

    async def next(self) -> list[WatchEvent]:
        """Return the next changes in order; raise ``PlatformError`` when the stream ends.

        An empty list means that the store has confirmed that nothing has changed so far.
        """

    async def close(self) -> None:
        """Close the watch."""


class KeyValueStore(Protocol):
    """The key-value service. Raises ``StoreUnavailableError``, ``StoreAnswerLostError``."""

    @property
    def era(self) -> int:
        """Return the latest era that an answer has named, 0 for a store without eras.

        It rises when the store comes back from an older copy: what was written in between is gone,
        leases too, and revisions and lease ids are given out again.
        """

    async def get(self, key: str) -> Snapshot:
        """Read one key."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys with a prefix."""

    async def read_revisions(self, prefix: str) -> Snapshot:
        """Read all keys with a prefix, without their values."""

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        """Apply all writes atomically if all conditions hold, otherwise none."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 means it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""

    async def watch(self, prefix: str, from_revision: int) -> Watch:
        """Watch the changes of keys with a prefix, starting at a revision."""
