"""Headers with bytes beyond ASCII, and handlers that fail."""

from typing import Any

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpHandler,
    HttpLimits,
    HttpServer,
    header_text,
    header_value,
)

# Every byte that a header's value may have beyond ASCII, and a name in UTF-8.
OPAQUE = [bytes(range(0x80, 0x100)), "reçu ŵ.txt".encode()]


def fetch(handler: HttpHandler, headers: list[tuple[str, str]]) -> tuple[int, Any, bytes]:
    async def main() -> tuple[int, Any, bytes]:
        server = HttpServer(Address("127.0.0.1", 0), handler, HttpLimits())
        await curio.spawn(server.run, daemon=True)
        client = HttpClient(server.address, ClientTimeouts(1.0, 2.0, 2.0))
        return await client.fetch_with_headers("GET", "/", headers)

    return curio.run(main)


# Guards: a byte beyond ASCII in a header closed the connection without an answer.
@pytest.mark.parametrize("value", OPAQUE)
def test_header_values_pass_in_both_directions_as_they_came(value: bytes) -> None:
    async def echo(exchange: HttpExchange) -> None:
        seen = header_value(exchange.request.headers, "x-name") or ""
        await exchange.answer(200, [("x-echo", seen)], seen.encode("latin-1"))

    status, headers, body = fetch(echo, [("x-name", value.decode("latin-1"))])
    assert (status, body) == (200, value)
    assert (header_value(headers, "x-echo") or "").encode("latin-1") == value


def test_any_text_can_be_a_header_value() -> None:
    async def echo(exchange: HttpExchange) -> None:
        await exchange.answer(200, [("x-name", header_text("ŵ"))], b"")

    _, headers, _ = fetch(echo, [])
    assert (header_value(headers, "x-name") or "").encode("latin-1") == "ŵ".encode()


# Guards: an unexpected error of a handler closed the connection without an answer.
@pytest.mark.parametrize("header", ["fine", "ŵ", "line\nbreak"])
def test_a_caller_gets_an_answer_when_the_handler_fails(header: str) -> None:
    async def fails(exchange: HttpExchange) -> None:
        await exchange.send_head(200, [("x-name", header)] if header != "fine" else [])
        raise RuntimeError("after the head")

    async def fails_at_once(exchange: HttpExchange) -> None:
        raise RuntimeError("before the head")

    if header == "fine":
        assert fetch(fails_at_once, [])[0] == 500
        with pytest.raises(Exception, match="closed"):
            fetch(fails, [])
    else:
        assert fetch(fails, [])[0] == 500
