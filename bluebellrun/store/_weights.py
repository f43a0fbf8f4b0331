"""The platform's weight store: named weights over HTTP and JSON, limited in bytes a second."""

import base64
import hashlib
from dataclasses import dataclass
from urllib.parse import quote

from pydantic import BaseModel, ValidationError

from bluebellrun.core import Address
from bluebellrun.http import ClientTimeouts, HttpClient, TransportError
from bluebellrun.store._exceptions import WeightsBusyError, WeightsError, WeightsNotFoundError

OK = 200
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Weights:
    """Named weights and their SHA-256 digest in hexadecimal."""

    name: str
    data: bytes
    digest: str


class _WireWeights(BaseModel):
    """Weights as the store sends and takes them; the data are in base64."""

    sha256: str
    data: str


class _WireRefusal(BaseModel):
    """Why the store did not do what was asked."""

    error: str = ""
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


class WeightStore:
    """A client of the weight store."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._client = HttpClient(address, ClientTimeouts(timeout_s, timeout_s, timeout_s))

    async def get(self, name: str) -> Weights:
        """Return weights whose digest has been checked.

        Raises ``WeightsNotFoundError``, ``WeightsBusyError`` or ``WeightsError``.
        """
        wire = _read(await self._fetch("GET", name, b""))
        data = base64.b64decode(wire.data)
        digest = hashlib.sha256(data).hexdigest()
        if digest != wire.sha256:
            raise WeightsError(f"weights {name!r} arrived damaged; fetch them again")
        return Weights(name, data, digest)

    async def put(self, name: str, data: bytes) -> Weights:
        """Store weights; doing so again with the same data has no further effect.

        Raises ``WeightsBusyError`` or ``WeightsError``.
        """
        digest = hashlib.sha256(data).hexdigest()
        wire = _WireWeights(sha256=digest, data=base64.b64encode(data).decode())
        await self._fetch("PUT", name, wire.model_dump_json().encode())
        return Weights(name, data, digest)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _fetch(self, method: str, name: str, body: bytes) -> bytes:
        """Make one call and return the body of its answer."""
        target = f"/weights/{quote(name, safe='')}"
        headers = [("content-type", "application/json")]
        try:
            status, data = await self._client.fetch(method, target, headers, body)
        except TransportError as error:
            raise WeightsError(f"weight store: {error}") from error
        match status:
            case int() if status == OK:
                return data
            case int() if status == NOT_FOUND:
                raise WeightsNotFoundError(f"there are no weights {name!r}")
            case int() if status == TOO_MANY_REQUESTS:
                raise WeightsBusyError(_read_refusal(data).retry_after_s)
        raise WeightsError(f"the weight store answered {status} for {name!r}: {data[:200]!r}")


def _read(data: bytes) -> _WireWeights:
    """Read weights from their wire form."""
    try:
        return _WireWeights.model_validate_json(data)
    except ValidationError as error:
        raise WeightsError(f"weight store: {error}") from error


def _read_refusal(data: bytes) -> _WireRefusal:
    """Read a refusal, or a default one when it is malformed."""
    try:
        return _WireRefusal.model_validate_json(data)
    except ValidationError:
        return _WireRefusal()
