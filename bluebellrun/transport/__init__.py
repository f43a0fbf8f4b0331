"""Network transport: HTTP/1.1 by h11 and links between processes by h2, both on curio."""

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
    header_value,
)
from bluebellrun.transport._http_server import HttpExchange, HttpServer
from bluebellrun.transport._link import Call, Link, LinkTiming, dial, serve_link
from bluebellrun.transport._listener import Listener

__all__ = [
    "BadResponseError",
    "Call",
    "CallError",
    "ClientTimeouts",
    "ConnectError",
    "ConnectionLostError",
    "Headers",
    "HttpClient",
    "HttpExchange",
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
    "header_value",
    "serve_link",
]
