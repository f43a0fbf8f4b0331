"""Open links to other processes, and serve those that others open."""

from typing import Any

import curio

from bluebellrun.core import Address
from bluebellrun.http import ConnectError, MemoryGate, connect, link_security
from bluebellrun.telemetry import get_logger
from bluebellrun.transport._link import CallHandler, Link
from bluebellrun.transport._models import LinkTiming

_log = get_logger("transport")


async def dial(address: Address, timing: LinkTiming, tls: Any = None) -> Link:
    """Open a link to another process; raise ``ConnectError`` if it cannot be opened."""
    sock = await connect(address, timing.connect_s, tls or link_security.tls)
    link = Link(sock, client=True, timing=timing)
    await curio.spawn(link.run, daemon=True)
    return link


async def accept_link(
    sock: Any, handler: CallHandler, timing: LinkTiming, memory: MemoryGate | None = None
) -> Link | None:
    """Return the link on an accepted connection, none if link security does not allow it.

    What arrives on it is charged to ``memory``.
    """
    try:
        sock = await link_security.accept(sock)
    except ConnectError as error:
        _log.warning("link refused", error=str(error))
        return None
    return Link(sock, client=False, timing=timing, handler=handler, memory=memory)


async def serve_link(
    sock: Any, handler: CallHandler, timing: LinkTiming, memory: MemoryGate | None = None
) -> None:
    """Serve the calls of an accepted connection until its link is closed."""
    link = await accept_link(sock, handler, timing, memory)
    if link is not None:
        await link.run()
