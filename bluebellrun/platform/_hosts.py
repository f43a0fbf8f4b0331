"""The platform's list of live and leaving hosts; it lags behind the truth."""

from dataclasses import dataclass
from enum import StrEnum

from pydantic import BaseModel, ValidationError

from bluebellrun.core import Address
from bluebellrun.platform._exceptions import PlatformError, StoreUnavailableError
from bluebellrun.transport import ClientTimeouts, HttpClient, TransportError

OK = 200


class HostState(StrEnum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host on the list."""

    name: str
    state: HostState


class _WireHost(BaseModel):
    """A host as the platform sends it."""

    name: str
    state: HostState


class _WireHosts(BaseModel):
    """The list as the platform sends it."""

    hosts: list[_WireHost]


class HostList:
    """A client of the host list."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._client = HttpClient(address, ClientTimeouts(timeout_s, timeout_s, timeout_s))

    async def read(self) -> tuple[HostEntry, ...]:
        """Return the hosts; raise ``PlatformError`` when the list cannot be read."""
        try:
            status, data = await self._client.fetch("GET", "/hosts", [])
        except TransportError as error:
            raise StoreUnavailableError(f"host list: {error}") from error
        if status != OK:
            raise StoreUnavailableError(f"the host list answered {status}")
        try:
            wire = _WireHosts.model_validate_json(data)
        except ValidationError as error:
            raise PlatformError(f"host list: {error}") from error
        return tuple(HostEntry(host.name, host.state) for host in wire.hosts)
