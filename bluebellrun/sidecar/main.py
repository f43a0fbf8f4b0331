"""The ``bluebellrun-sidecar`` program: wiring only."""

import signal
import sys
from dataclasses import replace

import curio

from bluebellrun.core import Address
from bluebellrun.deployment import HostSettings
from bluebellrun.http import HttpLimits, HttpServer, MemoryGate, caller_connections, memory_settings
from bluebellrun.platform import EngineRelay, SettingsError, read_settings, settings_path
from bluebellrun.runtime import StopSignals, run_program, spawn_background
from bluebellrun.telemetry import configure_serving_logs, get_logger

EXIT_BAD_SETTING = 2
# The coordinator keeps its connections between reads that may be seconds apart.
LIMITS = HttpLimits(max_header_bytes=8_192, max_body_bytes=1_048_576, max_connections=64)
# An order's answer is delayed by some tenths of a second until the engine has carried it out.
FINISH_CALLS_S = 1.0
POLL_S = 0.02

_log = get_logger("sidecar")


async def _serve(settings: HostSettings) -> int:
    """Run until told to stop; return the exit status."""
    signals = StopSignals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    configure_serving_logs(process=settings.host)
    if settings.upstream is None:
        raise SettingsError("no upstream runs beside this process; run the role where one does")
    address = Address(settings.ip, settings.ports.first)
    limits = replace(
        LIMITS,
        max_connections=caller_connections(settings.max_descriptors, LIMITS.max_connections),
    )
    memory = MemoryGate(memory_settings(settings.memory_bytes))
    relay = EngineRelay(settings.upstream)
    server = HttpServer(address, relay.handle, limits, memory=memory)
    await spawn_background(server.run)
    _log.info("started", listen=str(address), engine=str(settings.upstream))
    while (received := await signals.next()).number == signal.SIGHUP:
        _log.info("nothing to read again; new settings need a restart")
    await server.close()
    await server.close_idle()
    async with curio.ignore_after(FINISH_CALLS_S):
        while server.open_connections:
            await curio.sleep(POLL_S)
    _log.info("stopped", signal=received.number.name, calls_cut=server.open_connections)
    return 0


def run() -> None:
    """Start the program."""
    # Its default ends a process; the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        status = run_program(_serve, read_settings(settings_path()))
    except SettingsError as error:
        sys.stderr.write(f"bluebellrun-sidecar: {error}\n")
        sys.exit(EXIT_BAD_SETTING)
    sys.exit(status)


if __name__ == "__main__":
    run()
