"""The ``bluebellrun-gateway`` program.

It listens before it loads the rest of its code: a caller that connects meanwhile waits for its
answer instead of being refused a connection.
"""

import signal
import socket
import sys

from bluebellrun.core import Address
from bluebellrun.gateway._listening import open_listening_socket
from bluebellrun.platform import SettingsError, read_settings, settings_path

EXIT_BAD_SETTING = 2


def run() -> None:
    """Start the program."""
    # Its default ends a process; the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = read_settings(settings_path())
        if settings.callers is None:
            raise SettingsError("no address for callers; run the role where callers are served")
        listening = _listen(settings.callers)
        # Deferred: this import takes several times as long as everything before it.
        from bluebellrun.gateway._process import serve

        serve(settings, listening)
    except SettingsError as error:
        sys.stderr.write(f"bluebellrun-gateway: {error}\n")
        sys.exit(EXIT_BAD_SETTING)


def _listen(address: Address) -> socket.socket:
    """Return the callers' socket; raise ``SettingsError`` if the address is unavailable."""
    try:
        return open_listening_socket(address)
    except OSError as error:
        text = f"cannot listen on {address}: {error}; end what uses it or correct the setting"
        raise SettingsError(text) from error


if __name__ == "__main__":
    run()
