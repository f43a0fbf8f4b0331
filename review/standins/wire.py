"""HTTP/1.1 over asyncio, as much of it as the stand-ins need."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Message:
    """A request or an answer: its first line, headers with lower-case names, and body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a head; return none if the channel ends before one begins."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("ended within a head") from error
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with its whole body; none if the channel ends before one begins."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("ended within a body") from error
    return Message(first, headers, body)


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, f"content-length: {len(body)}", "", ""]).encode() + body


def json_answer(status: int, value: Any) -> bytes:
    """Return an answer with a JSON body."""
    return answer_bytes(status, {"content-type": "application/json"}, json.dumps(value).encode())


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Server:
    """Serve one request after the other on each channel, and end all of them on demand."""

    ip: str
    port: int
    handler: Handler
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one channel; a run is cancelled when its caller closes the channel."""
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                work = asyncio.ensure_future(self.handler(request, writer))
                gone = asyncio.ensure_future(_ended(reader))
                await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                if not work.done():
                    work.cancel()
                    return
                work.result()
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def stop(self) -> None:
        """End as a process does: refuse new channels and close the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def _ended(reader: asyncio.StreamReader) -> None:
    """Return when the other end has closed the channel."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class Channel:
    """A consumer's channel to a gateway, kept for several requests."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip, self._port = ip, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the channel is open, as far as this end knows."""
        reader, writer = self._reader, self._writer
        return reader is not None and writer is not None and not reader.at_eof()

    async def open(self) -> None:
        """Connect within the second that consumers allow."""
        opening = asyncio.open_connection(self._ip, self._port)
        self._reader, self._writer = await asyncio.wait_for(opening, 1.0)

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, wait_s: float
    ) -> tuple[str, Message | None]:
        """Send a request; return how it ended (answered, closed, silent) and its answer."""
        if self._reader is None or self._writer is None:
            raise ConnectionError("the channel is not open")
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if body:
            lines.append(f"content-length: {len(body)}")
        try:
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await asyncio.wait_for(read_message(self._reader), wait_s)
        except TimeoutError:
            await self.close()
            return "silent", None
        except ConnectionError:
            await self.close()
            return "closed", None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            await self.close()
        return ("closed" if answer is None else "answered"), answer

    async def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
            with contextlib.suppress(ConnectionError):
                await self._writer.wait_closed()
        self._reader = self._writer = None
