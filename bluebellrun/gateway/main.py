"""The ``bluebellrun-gateway`` program.

It listens before it loads the rest of its code: a caller that connects meanwhile waits a moment
for its answer instead of finding nobody.
"""

import sys

from bluebellrun.gateway._listening import open_listening_socket
from bluebellrun.platform import SettingsError, read_settings, settings_path

EXIT_BAD_SETTING = 2


def run() -> None:
    """Start the program."""
    try:
        settings = read_settings(settings_path())
        if settings.callers is None:
            raise SettingsError("no address for callers; run the role where callers are served")
        listening = open_listening_socket(settings.callers)
        # Loading this takes several times as long as all before it.
        from bluebellrun.gateway._process import serve

        serve(settings, listening)
    except SettingsError as error:
        sys.stderr.write(f"bluebellrun-gateway: {error}\n")
        sys.exit(EXIT_BAD_SETTING)


if __name__ == "__main__":
    run()
