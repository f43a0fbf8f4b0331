"""Changes of the store as the adapter decodes them for the gateway."""

from dataclasses import dataclass
from typing import Protocol

from bluebellrun.deployment import Deployment
from bluebellrun.gateway._models import Upstream
from bluebellrun.store import StorePosition


@dataclass(frozen=True, slots=True)
class ConfigurationWritten:
    """The operator wrote a configuration."""

    deployment: Deployment


@dataclass(frozen=True, slots=True)
class UpstreamWritten:
    """An upstream registered, or changed its registration."""

    upstream: Upstream
    revision: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamRemoved:
    """An upstream's registration was removed."""

    instance: str


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """The operator evacuated a failure domain: its upstreams get no requests."""

    domain: str
    revision: int


@dataclass(frozen=True, slots=True)
class EvacuationWithdrawn:
    """The operator withdrew the evacuation of a failure domain."""

    domain: str
    revision: int


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """A record of the project's own was written, or deleted when the value is none.

    ``revision`` is one of the store's ``era``.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return when it was written, in the store's history."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A key whose value cannot be used; ``instance`` names the upstream it would register."""

    key: str
    reason: str
    instance: str | None = None


StoreChange = (
    ConfigurationWritten
    | UpstreamWritten
    | UpstreamRemoved
    | DomainEvacuated
    | EvacuationWithdrawn
    | RecordWritten
    | Unreadable
)


class StoreReader(Protocol):
    """Read keys of the store."""

    @property
    def prefix(self) -> str:
        """Return the prefix below which all keys of interest lie."""

    def is_shared(self, key: str) -> bool:
        """Return whether a key means the same to all entries, so that they may share it."""

    def read(self, key: str, value: bytes | None, revision: int) -> StoreChange | None:
        """Read a key, or its deletion when the value is none; none for keys of no interest."""
