"""Open the callers' listening socket before anything but the standard library is loaded."""

import socket

from bluebellrun.core import Address

# Holds the connections that arrive while the process is still loading.
BACKLOG = 1_024


def open_listening_socket(address: Address) -> socket.socket:
    """Return a TCP socket that queues connections to an address; raises ``OSError``."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((address.ip, address.port))
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
