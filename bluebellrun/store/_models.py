"""Values exchanged with the key-value service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreTimeouts:
    """Deadlines of calls to the key-value service, in seconds."""

    call_s: float = 2.0


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """How a watch asks for changes, in seconds.

    A call waits for ``wait_s`` until something changes; after changes the next call is made
    ``batch_delay_s`` later, so that what changes together comes together.
    """

    wait_s: float = 3.0
    batch_delay_s: float = 0.1


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys read together, as they were at one revision of the store."""

    items: tuple[KeyValue, ...]
    revision: int

    def get(self, key: str) -> KeyValue | None:
        """Return one of the keys, or none."""
        return next((item for item in self.items if item.key == key), None)


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: the key's last change has this revision; 0 means the key does not exist."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a key, or its deletion when the value is none."""

    key: str
    value: bytes | None
    lease: int = 0


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Whether all conditions held and the writes were done, and the store's revision."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of a key; its value is none when it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int
