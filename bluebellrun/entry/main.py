"""The ``bluebellrun-entry`` program: startup and shutdown."""

import sys
from random import Random

import curio

from bluebellrun.conf import EXIT_BAD_SETTING, settings_command
from bluebellrun.core import MonotonicClock, UnixClock, new_incarnation
from bluebellrun.distribution import link_timing, make_node
from bluebellrun.entry._dispatcher import Dispatcher
from bluebellrun.entry._entry import Entry
from bluebellrun.entry._fleet import Fleet
from bluebellrun.entry._service_levels import ServiceLevels
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.http import (
    HttpLimits,
    HttpServer,
    TlsError,
    caller_connections,
    peer_links,
)
from bluebellrun.routing import make_routing
from bluebellrun.runtime import (
    StopSignals,
    configure_link_security,
    granted_descriptors,
    make_caller_tls,
    make_memory,
    run_program,
    spawn_background,
    warn_about_plaintext_links,
)
from bluebellrun.store import EtcdStore, StoreTimeouts
from bluebellrun.telemetry import Metrics, configure_logs, get_logger
from bluebellrun.transport import MAX_LINKS, Call, LinkServer

EXIT_REQUESTS_ABORTED = 3
STOP_POLL_S = 0.02

_log = get_logger("entry")


def _limits(settings: EntrySettings) -> HttpLimits:
    """Return the HTTP limits for callers."""
    return HttpLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        max_connections=caller_connections(granted_descriptors(), settings.max_connections),
        header_timeout_s=settings.header_timeout_s,
        body_timeout_s=settings.body_timeout_s,
        idle_timeout_s=settings.idle_timeout_s,
        write_timeout_s=settings.write_timeout_s,
    )


async def _serve(settings: EntrySettings) -> int:
    """Run the entry until a stop signal arrives; return the exit status."""
    signals = StopSignals()
    incarnation = new_incarnation()
    configure_logs(settings, process=settings.name, incarnation=incarnation)
    configure_link_security(settings)
    warn_about_plaintext_links(settings.link_listen)
    clock = MonotonicClock()
    timing = link_timing(settings)
    memory = make_memory(settings)

    async def handle_call(call: Call) -> None:
        await node.serve_call(call)

    metrics = Metrics(settings.statsd, "bluebellrun")
    store = EtcdStore(settings.store, StoreTimeouts(settings.store_timeout_s))
    listener = LinkServer(
        settings.link_listen,
        handle_call,
        timing,
        peer_links(granted_descriptors(), MAX_LINKS),
        memory,
    )
    node = make_node(settings, "entry", listener.address, store, clock)
    fleet = Fleet(settings, clock)
    node.follower.add_listener(fleet.apply_configuration)
    node.add_departure_listener(fleet.apply_departures)
    node.add_peer_listener(fleet.apply_peers)
    routing = make_routing(settings.routing_policy, Random(), settings.failure_domain)
    dispatcher = Dispatcher(settings, fleet, routing, clock, metrics)
    levels = ServiceLevels(settings.name, incarnation, fleet, UnixClock())
    entry = Entry(settings, node.follower, dispatcher, clock, metrics, levels)
    server = HttpServer(
        settings.listen,
        entry.handle,
        _limits(settings),
        make_caller_tls(settings),
        memory=memory,
    )
    await spawn_background(server.run)
    await spawn_background(listener.run)
    await node.run()
    _log.info("ready", listen=str(server.address), links=str(listener.address))
    await signals.next()
    await spawn_background(node.leave)
    status = await _stop(entry, server, signals, settings.stop_grace_s)
    await node.close()
    return status


async def _finish_requests(entry: Entry) -> None:
    """Wait until no request is in progress."""
    while entry.in_progress:
        await curio.sleep(STOP_POLL_S)


async def _stop(entry: Entry, server: HttpServer, signals: StopSignals, grace_s: float) -> int:
    """Shut down gracefully; return the exit status.

    A second signal or the end of the grace period ends the wait for requests in progress.
    """
    _log.info("stopping", in_progress=entry.in_progress)
    entry.stop()
    await server.close()
    async with curio.ignore_after(grace_s), curio.TaskGroup(wait=any) as group:
        await group.spawn(_finish_requests, entry)
        await group.spawn(signals.next)
    if entry.in_progress:
        _log.error("stopped with requests in progress", cut_off=entry.describe_in_progress())
        return EXIT_REQUESTS_ABORTED
    _log.info("stopped")
    return 0


def _start(settings: EntrySettings) -> int:
    """Run the entry in curio's loop."""
    try:
        return int(run_program(_serve, settings))
    except TlsError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_SETTING


run = settings_command(EntrySettings, _start)

if __name__ == "__main__":
    run()
