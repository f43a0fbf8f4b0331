"""Start a plain service: ``python -m standins.plain --name job-ledger --listen IP:PORT``."""

from typing import Annotated

import curio
import typer

from bluebellrun.core import parse_address
from standins._serving import serve_until_signal
from standins.plain._app import PlainApp


def start(
    name: Annotated[str, typer.Option(help="Name in the answers.")] = "job-ledger",
    listen: Annotated[str, typer.Option(help="IP:PORT to listen on.")] = "127.0.0.1:0",
    delay_s: Annotated[float, typer.Option(help="Time a request takes, in s.")] = 0.0,
) -> None:
    """Serve a plain service that counts its runs."""
    app = PlainApp(name, delay_s)
    curio.run(serve_until_signal, parse_address(listen), app.handle, name)


if __name__ == "__main__":
    typer.run(start)
