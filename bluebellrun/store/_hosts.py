"""Client of the platform's list of live and leaving hosts, which is eventually consistent."""

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

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
READ_TIMEOUT_S = 2.0


class HostState(StrEnum):
    """The state that the platform reports for a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host in the list, with its reported state."""

    name: str
    state: HostState


class _WireHost(BaseModel):
    """A host in its wire format."""

    name: str
    state: HostState


class _WireHosts(BaseModel):
    """The host list in its wire format."""

    hosts: list[_WireHost]


class HostList:
    """A client of the host list."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._client = HttpClient(address, ClientTimeouts(timeout_s, timeout_s, timeout_s))
        self._etag = ""
        self._hosts: tuple[HostEntry, ...] = ()

    async def read(self) -> tuple[HostEntry, ...]:
        """Return the hosts; raise ``PlatformError`` if the list cannot be read.

        If the platform supports entity tags, an unchanged list is not transferred again.
        """
        headers = [("if-none-match", self._etag)] if self._etag else []
        try:
            response = await self._client.open("GET", "/hosts", headers, b"")
            etag = header_value(response.headers, "etag") or ""
            try:
                data = await response.read_all(READ_TIMEOUT_S)
            finally:
                await response.close()
        except TransportError as error:
            raise StoreUnavailableError(f"host list: {error}") from error
        match response.status:
            case int() as status if status == HTTP_NOT_MODIFIED and self._etag:
                return self._hosts
            case int() as status if status != HTTP_OK:
                raise StoreUnavailableError(f"the host list answered {status}")
        self._hosts, self._etag = _decode_hosts(data), etag
        return self._hosts


def _decode_hosts(data: bytes) -> tuple[HostEntry, ...]:
    """Decode the host list from its wire format."""
    try:
        wire = _WireHosts.model_validate_json(data)
    except ValidationError as error:
        raise PlatformError(f"host list: {error}") from error
    return tuple(HostEntry(host.name, host.state) for host in wire.hosts)
