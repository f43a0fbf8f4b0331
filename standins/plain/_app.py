"""A plain service: every request but a read is a run, counted by key and by request id."""

import hashlib
import json
from collections import Counter

import curio

from bluebellrun.http import HttpExchange

# Requests that are held look this often whether they may be answered.
HELD_POLL_S = 0.01
READ_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class PlainApp:
    """Answer requests after a delay and remember what ran."""

    def __init__(self, name: str, delay_s: float = 0.0) -> None:
        self.name = name
        self.delay_s = delay_s
        self.held = False
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_request: Counter[str] = Counter()
        self.lose_next = 0

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        request = exchange.request
        if request.path.startswith("/standin/"):
            await self._control(exchange)
            return
        if request.method not in READ_METHODS:
            self._count_run(exchange)
        if self.delay_s:
            await curio.sleep(self.delay_s)
        while self.held:
            await curio.sleep(HELD_POLL_S)
        if self.lose_next > 0:
            self.lose_next -= 1
            exchange.abort()
            return
        answer = {
            "service": self.name,
            "method": request.method,
            "target": request.target,
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
            "run": sum(self.runs_by_request.values()),
        }
        await exchange.answer_json(200, answer)

    def _count_run(self, exchange: HttpExchange) -> None:
        """Count the run that a request asks for."""
        request = exchange.request
        key = request.header("idempotency-key")
        if key:
            self.runs_by_key[key] += 1
        self.runs_by_request[request.header("x-request-id") or "?"] += 1

    async def _control(self, exchange: HttpExchange) -> None:
        """Tell the counts, or change the delay and faults."""
        if exchange.request.path == "/standin/counts":
            runs = {"by_key": dict(self.runs_by_key), "by_request": dict(self.runs_by_request)}
            await exchange.answer_json(200, runs)
            return
        body = json.loads(exchange.request.body or b"{}")
        self.delay_s = float(body.get("delay_s", self.delay_s))
        self.held = bool(body.get("held", self.held))
        self.lose_next = int(body.get("lose_next", self.lose_next))
        await exchange.answer_json(200, {})
