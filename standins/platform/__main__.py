"""Start the platform's stand-in: ``python -m standins.platform --listen IP:PORT``."""

from typing import Annotated

import curio
import typer

from bluebellrun.core import Address, parse_address
from standins._serving import serve_until_signal
from standins.platform._app import PlatformApp


async def _main(address: Address) -> None:
    """Serve the platform until told to stop."""
    app = PlatformApp()
    await curio.spawn(app.run, daemon=True)
    await serve_until_signal(address, app.handle, "platform")


def start(
    listen: Annotated[str, typer.Option(help="IP:PORT to listen on.")] = "127.0.0.1:0",
) -> None:
    """Serve a key-value service and a host list from memory."""
    curio.run(_main, parse_address(listen))


if __name__ == "__main__":
    typer.run(start)
