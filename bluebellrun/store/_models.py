"""Data types of the key-value store interface."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreTimeouts:
    """Timeouts of calls to the key-value service, in seconds."""

    call_s: float = 2.0


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Long-polling intervals of a watch, in seconds.

    A call waits up to ``wait_s`` for a change. After changes, the next call is made
    ``batch_delay_s`` later, so that changes made together arrive in one batch.
    """

    wait_s: float = 3.0
    batch_delay_s: float = 0.1


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value, the revisions of its last change and creation, and its lease."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys read together, consistent at one revision of the store."""

    items: tuple[KeyValue, ...]
    revision: int

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


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of a key; the value is none if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int
