"""The ``bluebellrun-gateway`` program: wiring only."""

import itertools
import signal
import sys
from collections.abc import Callable
from random import Random

import curio

from bluebellrun.core import Address, BootClock, MonotonicClock, new_incarnation
from bluebellrun.deployment import Deployment, HostSettings
from bluebellrun.gateway._catch_up import UNHEARD_S, CatchUp
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._expert_maps import ExpertMaps
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._gateway import Gateway
from bluebellrun.gateway._gossip import Gossip
from bluebellrun.gateway._lifecycle import Lifecycle
from bluebellrun.gateway._peers import EntryNews, PeerTable
from bluebellrun.gateway._role import LEASE_S, PlacementRole
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.http import HttpExchange, HttpHandler, HttpLimits, HttpServer
from bluebellrun.leases import RoleHolder
from bluebellrun.platform import (
    OWN_PREFIX,
    READY_PATH,
    EngineCalls,
    PlatformCatalogue,
    PlatformStore,
    PlatformWire,
    SettingsError,
    read_settings,
    settings_path,
)
from bluebellrun.runtime import StopSignals, spawn_background
from bluebellrun.store import StoreTimeouts
from bluebellrun.telemetry import ServingMetrics, configure_serving_logs, get_logger

EXIT_BAD_SETTING = 2
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
# Answers of a slow store take a quarter of a second; a caller's time to be served is a few.
STORE_CALL_S = 1.5
# The address of the metrics, as the deploy file names it.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# The role of the process that keeps the expert maps.
PLACEMENT_ROLE = "placement"
# Upstreams that are gone are forgotten this often.
TIDY_INTERVAL_S = 1.0

_log = get_logger("gateway")


def _limits(deployment: Deployment) -> HttpLimits:
    """Return the limits on callers that a configuration declares."""
    limits = deployment.limits
    return HttpLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


def _readiness(ready: Callable[[], bool]) -> HttpHandler:
    """Return a handler that tells whether this process takes callers."""

    async def handle(exchange: HttpExchange) -> None:
        if exchange.request.path != READY_PATH:
            await exchange.answer_json(NOT_FOUND, {"detail": f"only {READY_PATH} is here"})
            return
        await exchange.answer_json(OK if ready() else UNAVAILABLE, {"ready": ready()})

    return handle


def _texts(metrics: ServingMetrics) -> HttpHandler:
    """Return a handler that gives the metrics as text."""

    async def handle(exchange: HttpExchange) -> None:
        if exchange.request.path != METRICS_PATH:
            await exchange.answer_json(NOT_FOUND, {"detail": f"only {METRICS_PATH} is here"})
            return
        await exchange.answer(OK, [("content-type", "text/plain; version=0.0.4")], metrics.text())

    return handle


def _show(metrics: ServingMetrics, gateway: Gateway, view: StoreView, role: PlacementRole) -> None:
    """Show what the process believes."""

    def version() -> float:
        return 0 if gateway.deployment is None else gateway.deployment.version

    metrics.gauge("bluebellrun_in_progress", "Requests in progress", lambda: gateway.in_progress)
    metrics.gauge("bluebellrun_configuration_version", "Configuration in force", version)
    metrics.gauge(
        "bluebellrun_store_silence_seconds", "Seconds since the store spoke", view.silence_s
    )
    metrics.gauge(
        "bluebellrun_keeps_maps",
        "1 if this process keeps the expert maps",
        lambda: float(role.lease() is not None),
    )


async def _tidy(fleet: Fleet, gateway: Gateway, gossip: Gossip) -> None:
    """Forget upstreams that are gone and count the entries, for as long as the process runs."""
    while True:
        await curio.sleep(TIDY_INTERVAL_S)
        gateway.set_entries(1 + len(gossip.peers))
        await fleet.forget_gone()


async def _serve(settings: HostSettings) -> int:
    """Run until told to stop; return the exit status."""
    signals = StopSignals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    configure_serving_logs(process=settings.host)
    clock, random = MonotonicClock(), Random()
    directory = UpstreamDirectory()
    table = PeerTable(settings.host)
    fleet = Fleet(directory, settings.failure_domain, random, table.running)
    metrics = ServingMetrics()
    gateway = Gateway(settings, fleet, PlatformWire(), random, metrics.note_request)
    if settings.callers is None or settings.readiness is None:
        raise SettingsError("no address for callers or readiness; run the role where both are set")
    server = HttpServer(settings.callers, gateway.handle, HttpLimits())

    def put_in_force(deployment: Deployment) -> bool:
        in_force = gateway.put_in_force(deployment)
        if in_force:
            server.limits = _limits(deployment)
        return in_force

    store = PlatformStore(settings.store.address, StoreTimeouts(STORE_CALL_S))
    view = StoreView(store, PlatformCatalogue(), directory, put_in_force, clock, random)
    boot = BootClock()
    holder = RoleHolder(
        store, OWN_PREFIX.rstrip("/"), PLACEMENT_ROLE, settings.host, LEASE_S, boot, random
    )
    role = PlacementRole(holder, view, boot, settings.bounds.fenced_orders)
    calls = EngineCalls(settings.ports.first)
    maps = ExpertMaps(role, calls, directory, lambda: gateway.deployment)
    incarnation = new_incarnation()
    numbers = itertools.count(1)

    inner = Address(settings.ip, settings.ports.first)

    def news() -> EntryNews:
        silence_s = min(view.silence_s(), UNHEARD_S)
        running = fleet.running_here()
        return EntryNews(settings.host, incarnation, next(numbers), str(inner), silence_s, running)

    catch_up = CatchUp(inner, view, table)
    entry_key = f"{OWN_PREFIX}entries/{settings.host}"
    gossip = Gossip(inner, entry_key, store, view, table, news)
    lifecycle = Lifecycle(gateway, server, settings.bounds)
    readiness = HttpServer(settings.readiness, _readiness(lambda: lifecycle.ready), HttpLimits())
    _show(metrics, gateway, view, role)
    collectors = HttpServer(Address(settings.ip, METRICS_PORT), _texts(metrics), HttpLimits())
    servers = (server.run, readiness.run, collectors.run, catch_up.serve)
    upkeep = (view.run, catch_up.run, role.run, maps.run, gossip.run, gossip.keep_registered)
    for task in (*servers, *upkeep):
        await spawn_background(task)
    await spawn_background(_tidy, fleet, gateway, gossip)
    _log.info("started", callers=str(settings.callers), domain=settings.failure_domain)
    while (number := await signals.next()) == signal.SIGHUP:
        _reload(settings)
    _log.info("stopping", signal=number.name, in_progress=gateway.in_progress)
    await role.release()
    await lifecycle.stop()
    _log.info("stopped", in_progress=gateway.in_progress)
    return 0


def _reload(settings: HostSettings) -> None:
    """Read the settings file again and say what changed; changes need a new start."""
    try:
        changed = read_settings(settings_path())
    except SettingsError as error:
        _log.error("settings refused; the old ones stay in force", error=str(error))
        return
    names = [
        name for name in settings.__slots__ if getattr(settings, name) != getattr(changed, name)
    ]
    _log.info("settings read again", changed=names, need_restart=names)


def run() -> None:
    """Start the program."""
    try:
        settings = read_settings(settings_path())
        status = curio.run(_serve, settings)
    except SettingsError as error:
        sys.stderr.write(f"bluebellrun-gateway: {error}\n")
        sys.exit(EXIT_BAD_SETTING)
    sys.exit(status)


if __name__ == "__main__":
    run()
