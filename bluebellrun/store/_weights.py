"""Client of the platform's weight store: named weights over HTTP and JSON, rate-limited."""

import base64
import hashlib
from dataclasses import dataclass
from urllib.parse import quote

from pydantic import BaseModel, ValidationError

from bluebellrun.core import Address
from bluebellrun.http import ClientTimeouts, HttpClient, TransportError
from bluebellrun.store._exceptions import WeightsBusyError, WeightsError, WeightsNotFoundError

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY_REQUESTS = 429
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Weights:
    """Named weights with their hexadecimal SHA-256 digest."""

    name: str
    data: bytes
    digest: str


class _WireWeights(BaseModel):
    """Weights in their wire format; the data are base64."""

    sha256: str
    data: str


class _WireError(BaseModel):
    """An error answer of the weight store."""

    error: str = ""
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


class WeightStore:
    """A client of the weight store, which limits transfers in bytes per second."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._client = HttpClient(address, ClientTimeouts(timeout_s, timeout_s, timeout_s))

    async def get(self, name: str) -> Weights:
        """Fetch weights and verify their digest.

        Raises ``WeightsNotFoundError``, ``WeightsBusyError`` or ``WeightsError``.
        """
        wire = _decode_weights(await self._fetch("GET", name, b""))
        data = base64.b64decode(wire.data)
        digest = hashlib.sha256(data).hexdigest()
        if digest != wire.sha256:
            raise WeightsError(f"weights {name!r} arrived damaged; fetch them again")
        return Weights(name, data, digest)

    async def put(self, name: str, data: bytes) -> Weights:
        """Store weights; the call is idempotent for the same data.

        Raises ``WeightsBusyError`` or ``WeightsError``.
        """
        digest = hashlib.sha256(data).hexdigest()
        wire = _WireWeights(sha256=digest, data=base64.b64encode(data).decode())
        await self._fetch("PUT", name, wire.model_dump_json().encode())
        return Weights(name, data, digest)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _fetch(self, method: str, name: str, body: bytes) -> bytes:
        """Make one call and return the body of the answer."""
        target = f"/weights/{quote(name, safe='')}"
        headers = [("content-type", "application/json")]
        try:
            status, data = await self._client.fetch(method, target, headers, body)
        except TransportError as error:
            raise WeightsError(f"weight store: {error}") from error
        match status:
            case int() if status == HTTP_OK:
                return data
            case int() if status == HTTP_NOT_FOUND:
                raise WeightsNotFoundError(f"there are no weights {name!r}")
            case int() if status == HTTP_TOO_MANY_REQUESTS:
                raise WeightsBusyError(_decode_error(data).retry_after_s)
        raise WeightsError(f"the weight store answered {status} for {name!r}: {data[:200]!r}")


def _decode_weights(data: bytes) -> _WireWeights:
    """Decode weights from their wire format."""
    try:
        return _WireWeights.model_validate_json(data)
    except ValidationError as error:
        raise WeightsError(f"weight store: {error}") from error


def _decode_error(data: bytes) -> _WireError:
    """Decode an error answer; return a default one if it is malformed."""
    try:
        return _WireError.model_validate_json(data)
    except ValidationError:
        return _WireError()
