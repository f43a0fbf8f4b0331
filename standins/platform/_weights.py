"""The weight store's stand-in: weights in memory, limited in bytes a second."""

import hashlib
import time
from base64 import b64decode, b64encode
from json import loads
from urllib.parse import unquote

from bluebellrun.http import HttpExchange
from standins._serving import not_found

PREFIX = "/weights/"
BURST_S = 1.0


class WeightShelf:
    """Keep weights; refuse calls while the bytes moved lately are over the rate."""

    def __init__(self) -> None:
        self.rate_bytes_per_s = 1e9
        self.refused = 0
        self._weights: dict[str, bytes] = {}
        self._free_at = 0.0

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        name = unquote(exchange.request.path.removeprefix(PREFIX))
        wait_s = self._free_at - time.monotonic()
        if wait_s > BURST_S:
            self.refused += 1
            answer = {"error": "over the rate", "retry_after_s": round(wait_s, 3)}
            await exchange.answer_json(429, answer)
            return
        if exchange.request.method == "PUT":
            await self._put(exchange, name)
            return
        await self._get(exchange, name)

    async def _put(self, exchange: HttpExchange, name: str) -> None:
        """Keep weights whose digest is right."""
        body = loads(exchange.request.body)
        data = b64decode(body["data"])
        if hashlib.sha256(data).hexdigest() != body["sha256"]:
            await exchange.answer_json(400, {"error": "the digest does not match the data"})
            return
        self._weights[name] = data
        self._charge(len(data))
        await exchange.answer_json(200, {})

    async def _get(self, exchange: HttpExchange, name: str) -> None:
        """Send weights."""
        data = self._weights.get(name)
        if data is None:
            await not_found(exchange)
            return
        self._charge(len(data))
        digest = hashlib.sha256(data).hexdigest()
        await exchange.answer_json(200, {"sha256": digest, "data": b64encode(data).decode()})

    def _charge(self, count: int) -> None:
        """Count bytes against the rate."""
        start = max(self._free_at, time.monotonic())
        self._free_at = start + count / self.rate_bytes_per_s
