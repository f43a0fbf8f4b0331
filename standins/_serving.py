"""Run a stand-in's HTTP server as a program."""

import sys

import curio

from bluebellrun.core import Address
from bluebellrun.http import (
    HttpExchange,
    HttpHandler,
    HttpLimits,
    HttpServer,
)
from bluebellrun.runtime import StopSignals

STANDIN_LIMITS = HttpLimits(max_body_bytes=67_108_864, write_timeout_s=600.0)


async def serve(address: Address, handler: HttpHandler) -> HttpServer:
    """Start a server in the background and return it."""
    server = HttpServer(address, handler, STANDIN_LIMITS)
    await curio.spawn(server.run, daemon=True)
    return server


async def serve_until_signal(address: Address, handler: HttpHandler, what: str) -> None:
    """Serve until SIGTERM or SIGINT, after printing the address in use."""
    signals = StopSignals()
    server = await serve(address, handler)
    sys.stdout.write(f"{what} listens on {server.address}\n")
    sys.stdout.flush()
    await signals.next()
    await server.close()


async def not_found(exchange: HttpExchange) -> None:
    """Answer that nothing stands at this path."""
    await exchange.answer_json(404, {"error": f"nothing at {exchange.request.path}"})
