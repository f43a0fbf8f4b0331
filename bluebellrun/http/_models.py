"""Requests, headers, limits and deadlines of HTTP/1.1."""

from dataclasses import dataclass

Headers = list[tuple[str, str]]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on what a server accepts; times in seconds, sizes in bytes."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 8_388_608
    max_connections: int = 4_096
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Deadlines of one HTTP request, in seconds.

    ``first_byte_s`` bounds the whole head of an answer and ``whole_s`` the body of one that is
    fetched, from its head on, however its bytes are spread over that time.
    """

    connect_s: float = 1.0
    first_byte_s: float = 30.0
    whole_s: float = 30.0


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request: its body has been read."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or none."""
        return header_value(self.headers, name)


def header_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header by its lower-case name, or none."""
    for key, value in headers:
        if key == name:
            return value
    return None


def decode_headers(raw: object) -> Headers:
    """Return h11's headers as text with lower-case names, one character for each byte."""
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in raw]  # type: ignore[attr-defined]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the bytes of headers as ``decode_headers`` read them or ``header_text`` made them."""
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]


def header_text(text: str) -> str:
    """Return a header's value that holds any text, in UTF-8."""
    return text.encode().decode("latin-1")


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without those that concern a single connection."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key == "connection"
        for token in value.split(",")
    }
    return [(k, v) for k, v in headers if k not in HOP_BY_HOP and k not in named]
