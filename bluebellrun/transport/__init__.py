"""Links between bluebellrun processes, using h2 on curio."""

from bluebellrun.transport._call import Call
from bluebellrun.transport._exceptions import CallError, LinkLostError
from bluebellrun.transport._link import Link
from bluebellrun.transport._models import LinkTiming
from bluebellrun.transport._open import dial, serve_link

__all__ = [
    "Call",
    "CallError",
    "Link",
    "LinkLostError",
    "LinkTiming",
    "dial",
    "serve_link",
]
