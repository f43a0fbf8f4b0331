"""Handlers of the readiness check and of the metrics."""

from collections.abc import Callable

from bluebellrun.http import HttpExchange, HttpHandler
from bluebellrun.telemetry import ServingMetrics

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


def readiness_handler(ready: Callable[[], bool], path: str) -> HttpHandler:
    """Return a handler that reports whether this process accepts callers."""

    async def handle(exchange: HttpExchange) -> None:
        if exchange.request.path != path:
            await exchange.answer_json(NOT_FOUND, {"detail": f"only {path} is here"})
            return
        await exchange.answer_json(OK if ready() else UNAVAILABLE, {"ready": ready()})

    return handle


def metrics_handler(metrics: ServingMetrics, path: str) -> HttpHandler:
    """Return a handler that serves the metrics as text."""

    async def handle(exchange: HttpExchange) -> None:
        if exchange.request.path != path:
            await exchange.answer_json(NOT_FOUND, {"detail": f"only {path} is here"})
            return
        await exchange.answer(OK, [("content-type", "text/plain; version=0.0.4")], metrics.text())

    return handle
