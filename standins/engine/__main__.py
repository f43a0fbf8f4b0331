"""Start a model engine: ``python -m standins.engine --name engine-1 --listen IP:PORT``."""

from typing import Annotated

import curio
import typer

from bluebellrun.core import Address, parse_address
from standins._serving import serve_until_signal
from standins.engine._app import EngineApp
from standins.engine._batching import EngineSettings


async def _main(app: EngineApp, address: Address) -> None:
    """Serve the engine until told to stop."""
    await curio.spawn(app.batcher.run, daemon=True)
    await curio.spawn(app.streams.run, daemon=True)
    await serve_until_signal(address, app.handle, app.name)


def start(
    name: Annotated[str, typer.Option(help="Name of the engine.")] = "engine",
    listen: Annotated[str, typer.Option(help="IP:PORT to listen on.")] = "127.0.0.1:0",
    model: Annotated[list[str] | None, typer.Option(help="Model it serves.")] = None,
    slots: Annotated[int, typer.Option(help="Sequences in one batch.")] = 16,
    step_base_s: Annotated[float, typer.Option(help="Least duration of a step, in s.")] = 0.01,
    prefill_per_token_s: Annotated[
        float, typer.Option(help="Time to compute a prompt token, in s.")
    ] = 0.00002,
    cache_tokens: Annotated[int, typer.Option(help="Prompt tokens that are cached.")] = 0,
    preempts: Annotated[bool, typer.Option(help="Pause less urgent sequences.")] = False,
) -> None:
    """Serve an OpenAI-style API from a simulated batch."""
    settings = EngineSettings(
        slots=slots,
        step_base_s=step_base_s,
        prefill_per_token_s=prefill_per_token_s,
        cache_tokens=cache_tokens,
        preempts=preempts,
    )
    curio.run(_main, EngineApp(name, model or ["draft-large"], settings), parse_address(listen))


if __name__ == "__main__":
    typer.run(start)
