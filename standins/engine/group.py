"""Start the ranks of a group: ``python -m standins.engine.group --ranks 3``.

Rank 0 listens on the port that is printed; the others' are printed after it.
"""

import sys
from functools import partial
from typing import Annotated

import curio
import typer

from bluebellrun.core import Address
from bluebellrun.runtime import StopSignals
from standins._serving import serve
from standins.engine._group import LockStepGroup
from standins.engine._group_app import GroupApp

LOOPBACK = "127.0.0.1"


async def _main(app: GroupApp) -> None:
    """Serve the ranks until told to stop."""
    signals = StopSignals()
    addresses = []
    for number in range(len(app.group.ranks)):
        server = await serve(Address(LOOPBACK, 0), partial(app.handle, number))
        addresses.append(str(server.address))
    await curio.spawn(app.run, daemon=True)
    sys.stdout.write(f"ranks {','.join(addresses)}\ngroup listens on {addresses[0]}\n")
    sys.stdout.flush()
    await signals.next()


def start(
    ranks: Annotated[int, typer.Option(help="Ranks of the group.")] = 3,
    unfenced: Annotated[int, typer.Option(help="First ranks that ignore fencing numbers.")] = 0,
    step_s: Annotated[float, typer.Option(help="Duration of a step, in s.")] = 0.01,
) -> None:
    """Serve ranks in lock-step."""
    fenced = [number >= unfenced for number in range(ranks)]
    curio.run(_main, GroupApp(LockStepGroup(fenced), step_s))


if __name__ == "__main__":
    typer.run(start)
