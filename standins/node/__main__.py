"""Start a bare node: ``python -m standins.node --name NAME --store IP:PORT``.

It prints its address, then one line for each version that comes into force, with the reading of
the machine's monotonic clock in seconds.
"""

import sys
import time
from typing import Any

import curio

from bluebellrun.conf import ControlSettings, settings_command
from bluebellrun.core import Address, MonotonicClock
from bluebellrun.declarations import Configuration
from bluebellrun.distribution import link_timing, make_node
from bluebellrun.http import Listener
from bluebellrun.runtime import StopSignals, spawn_background
from bluebellrun.store import EtcdStore, StoreTimeouts
from bluebellrun.telemetry import configure_logs
from bluebellrun.transport import serve_link


class NodeSettings(ControlSettings):
    """Run a bare node of the control plane."""


async def _tell(configuration: Configuration) -> None:
    """Print that a version is in force, and when."""
    _print(f"in force {configuration.version} {time.monotonic():.6f}")


def _print(line: str) -> None:
    """Print a line at once."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


async def _main(settings: NodeSettings) -> None:
    """Run the node until told to stop."""
    signals = StopSignals()
    configure_logs(settings, process=settings.name)
    store = EtcdStore(settings.store, StoreTimeouts(settings.store_timeout_s))
    timing = link_timing(settings)

    async def handle_connection(sock: Any) -> None:
        await serve_link(sock, node.serve_call, timing)

    listener = Listener(Address("127.0.0.1", 0), handle_connection)
    node = make_node(settings, "node", listener.address, store, MonotonicClock())
    node.follower.add_listener(_tell)
    await spawn_background(listener.run)
    await node.run()
    _print(f"node listens on {listener.address}")
    await signals.next()
    await node.leave()
    await node.close()


def _start(settings: NodeSettings) -> int:
    """Run the node in curio's loop."""
    curio.run(_main, settings)
    return 0


run = settings_command(NodeSettings, _start)

if __name__ == "__main__":
    run()
