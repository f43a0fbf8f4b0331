"""Data types of the key-value store interface."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreTimeouts:
    """Timeouts of calls to the key-value service, in seconds."""

    call_s: float = 2.0


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Long-polling intervals of a watch, in seconds.

    A call waits up to ``wait_s`` for a change; its answer counts as lost ``answer_s`` after that.
    After changes, the next call is made ``batch_delay_s`` later, so that changes made together
    arrive in one batch.
    """

    wait_s: float = 3.0
    batch_delay_s: float = 0.1
    answer_s: float = 0.6

    @property
    def call_s(self) -> float:
        """Return after how long a call is given up."""
        return self.wait_s + self.answer_s


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value, the revisions of its last change and creation, and its lease."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease: int = 0


# Upper bound on the revisions that one restore loses: hours of writes at a store's rate limit.
REVISIONS_PER_ERA = 1 << 24
# Until its first restore a store is in this era, and fencing numbers equal revisions.
FIRST_ERA = 1


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A point in a store's history: revisions are given out again in each era.

    The era rises when the store comes back from an older copy; it is 0 while none is known.
    """

    era: int = 0
    revision: int = 0

    @property
    def number(self) -> int:
        """Return the position as one number that grows over all eras, for fencing."""
        return self.revision + max(0, self.era - FIRST_ERA) * REVISIONS_PER_ERA


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys read together, consistent at one revision of the store in an era."""

    items: tuple[KeyValue, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the point in the store's history."""
        return StorePosition(self.era, self.revision)

    def get(self, key: str) -> KeyValue | None:
        """Return the item of a key, or none."""
        return next((item for item in self.items if item.key == key), None)


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: the key was last changed at this revision; 0 means it does not exist."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a key, or its deletion if the value is none."""

    key: str
    value: bytes | None
    lease: int = 0


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Whether all conditions held and the writes were applied, and the store's revision."""

    succeeded: bool
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of a key; the value is none if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int
