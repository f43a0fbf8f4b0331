"""HTTP/1.1 towards callers and upstreams: h11 for the protocol, curio for the sockets."""

from bluebellrun.http._client import HttpClient, HttpResponse
from bluebellrun.http._client_connection import AcceptResponse
from bluebellrun.http._compression import (
    COMPRESSED,
    COMPRESSED_FROM_BYTES,
    compress_body,
    decompress_body,
)
from bluebellrun.http._connect import connect
from bluebellrun.http._descriptors import caller_connections, peer_links
from bluebellrun.http._exceptions import (
    AnswerTooLongError,
    BadResponseError,
    ConnectError,
    ConnectionLostError,
    NotSentError,
    PeerTimeoutError,
    TransportError,
)
from bluebellrun.http._exchange import CallerGoneError, HttpExchange, HttpHandler
from bluebellrun.http._listener import Listener
from bluebellrun.http._memory import MemoryBudget, MemorySettings, memory_settings
from bluebellrun.http._memory_gate import MemoryGate, NoMemoryError
from bluebellrun.http._models import (
    ClientTimeouts,
    Headers,
    HttpLimits,
    HttpRequest,
    end_to_end,
    header_text,
    header_value,
)
from bluebellrun.http._retry_after import read_retry_after_s
from bluebellrun.http._server import HttpServer
from bluebellrun.http._tls import (
    LinkSecurity,
    PeerNotAllowedError,
    Tls,
    TlsError,
    TlsFiles,
    link_security,
)

__all__ = [
    "COMPRESSED",
    "COMPRESSED_FROM_BYTES",
    "AcceptResponse",
    "AnswerTooLongError",
    "BadResponseError",
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
    "LinkSecurity",
    "Listener",
    "MemoryBudget",
    "MemoryGate",
    "MemorySettings",
    "NoMemoryError",
    "NotSentError",
    "PeerNotAllowedError",
    "PeerTimeoutError",
    "Tls",
    "TlsError",
    "TlsFiles",
    "TransportError",
    "caller_connections",
    "compress_body",
    "connect",
    "decompress_body",
    "end_to_end",
    "header_text",
    "header_value",
    "link_security",
    "memory_settings",
    "peer_links",
    "read_retry_after_s",
]
