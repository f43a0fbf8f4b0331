"""Network transport: HTTP/1.1 by h11 and links between processes by h2, both on curio."""

from bluebellrun.transport._call import Call
from bluebellrun.transport._exceptions import (
    BadResponseError,
    CallError,
    ConnectError,
    ConnectionLostError,
    LinkLostError,
    PeerTimeoutError,
    TransportError,
)
from bluebellrun.transport._http_client import HttpClient, HttpResponse
from bluebellrun.transport._http_models import (
    ClientTimeouts,
    Headers,
    HttpLimits,
    HttpRequest,
    end_to_end,
    header_value,
)
from bluebellrun.transport._http_server import (
    CallerGoneError,
    HttpExchange,
    HttpHandler,
    HttpServer,
)
from bluebellrun.transport._link import Link, LinkTiming, dial, serve_link
from bluebellrun.transport._listener import Listener

__all__ = [
    "BadResponseError",
    "Call",
    "CallError",
    "CallerGoneError",
    "ClientTimeouts",
    "ConnectError",
    "ConnectionLostError",
    "Headers",
    "HttpClient",
    "HttpExchange",
    "HttpHandler",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Link",
    "LinkLostError",
    "LinkTiming",
    "Listener",
    "PeerTimeoutError",
    "TransportError",
    "dial",
    "end_to_end",
    "header_value",
    "serve_link",
]
