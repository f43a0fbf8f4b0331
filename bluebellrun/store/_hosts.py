"""The platform's list of live and leaving hosts; it lags behind the truth."""

from dataclasses import dataclass
from enum import StrEnum

from pydantic import BaseModel, ValidationError

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    TransportError,
    header_value,
)
from bluebellrun.store._exceptions import PlatformError, StoreUnavailableError

OK = 200
NOT_MODIFIED = 304
LIST_READ_S = 2.0


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
        self._tag = ""
        self._hosts: tuple[HostEntry, ...] = ()

    async def read(self) -> tuple[HostEntry, ...]:
        """Return the hosts; raise ``PlatformError`` when the list cannot be read.

        The list is sent again only when it has changed, where the platform supports that.
        """
        headers = [("if-none-match", self._tag)] if self._tag else []
        try:
            response = await self._client.open("GET", "/hosts", headers, b"")
            tag = header_value(response.headers, "etag") or ""
            try:
                data = await response.read_all(LIST_READ_S)
            finally:
                await response.close()
        except TransportError as error:
            raise StoreUnavailableError(f"host list: {error}") from error
        match response.status:
            case int() as status if status == NOT_MODIFIED and self._tag:
                return self._hosts
            case int() as status if status != OK:
                raise StoreUnavailableError(f"the host list answered {status}")
        self._hosts, self._tag = _read_hosts(data), tag
        return self._hosts


def _read_hosts(data: bytes) -> tuple[HostEntry, ...]:
    """Read the list from its wire form."""
    try:
        wire = _WireHosts.model_validate_json(data)
    except ValidationError as error:
        raise PlatformError(f"host list: {error}") from error
    return tuple(HostEntry(host.name, host.state) for host in wire.hosts)
