"""Links between bluebellrun processes, using h2 on curio."""

from bluebellrun.transport._call import Call
from bluebellrun.transport._exceptions import CallError, LinkLostError
from bluebellrun.transport._link import Link
from bluebellrun.transport._models import LinkTiming
from bluebellrun.transport._open import dial, serve_link
from bluebellrun.transport._server import MAX_LINKS, LinkServer

__all__ = [
    "MAX_LINKS",
    "Call",
    "CallError",
    "Link",
    "LinkLostError",
    "LinkServer",
    "LinkTiming",
    "dial",
    "serve_link",
]
