"""Composition root of the gateway's process."""

import itertools
import signal
import socket
import time
from collections.abc import Collection
from random import Random

import curio

from bluebellrun.core import Address, MonotonicClock, new_incarnation
from bluebellrun.deployment import Deployment, HostSettings, ServiceTerms
from bluebellrun.expert_maps import SlowUpstreams
from bluebellrun.gateway._catch_up import NEVER_REACHED_S, CatchUp
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._crash_exchange import CrashExchange
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._gateway import Gateway
from bluebellrun.gateway._gauges import (
    register_evacuation_gauges,
    register_gauges,
    register_memory_gauges,
    register_quarantine_gauges,
    register_store_gauges,
)
from bluebellrun.gateway._gossip import Gossip, status_age_s
from bluebellrun.gateway._lifecycle import Lifecycle
from bluebellrun.gateway._limit_permits import LimitPermits
from bluebellrun.gateway._maps_setup import MapsSetup, register_map_gauges
from bluebellrun.gateway._peers import EntryStatus, PeerTable
from bluebellrun.gateway._probe_handlers import metrics_handler, readiness_handler
from bluebellrun.gateway._prompt_guard import PromptGuard
from bluebellrun.gateway._shedding_gauges import register_shedding_gauges
from bluebellrun.gateway._store_view import StoreView, watch_check_s, watch_timing
from bluebellrun.http import (
    HttpLimits,
    HttpServer,
    MemoryGate,
    caller_connections,
    memory_settings,
)
from bluebellrun.platform import (
    OWN_PREFIX,
    READY_PATH,
    EngineClient,
    PlatformCatalogue,
    PlatformStore,
    PlatformWire,
    SettingsError,
    read_settings,
    settings_path,
)
from bluebellrun.quarantine import PromptQuarantine, QuarantineSettings
from bluebellrun.routing import GroupTable
from bluebellrun.runtime import StopSignals, run_program, spawn_background
from bluebellrun.store import StoreTimeouts
from bluebellrun.telemetry import ServingMetrics, configure_serving_logs, get_logger

# A slow store answers within a quarter of a second; callers wait for a few seconds.
STORE_CALL_S = 1.5
# The address of the metrics, as the deploy file names it.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# Interval of dropping removed upstreams.
CLEANUP_INTERVAL_S = 1.0
# Readiness and metrics are read by a few probes, which send no body.
PROBE_LIMITS = HttpLimits(max_header_bytes=16_384, max_body_bytes=16_384, max_connections=32)

_log = get_logger("gateway")


def _http_limits(deployment: Deployment) -> HttpLimits:
    """Return the limits on callers that a configuration declares."""
    limits = deployment.limits
    return HttpLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


class _Process:
    """The components of a gateway, connected."""

    def __init__(self, settings: HostSettings, listening: socket.socket) -> None:
        if settings.callers is None or settings.readiness is None:
            raise SettingsError(
                "no address for callers or readiness; run the role where both are set"
            )
        self._settings = settings
        self._random = Random()
        self._directory = UpstreamDirectory()
        self._peers = PeerTable(settings.host)
        self._metrics = ServingMetrics()
        self._slow = SlowUpstreams()
        self._groups = GroupTable()
        self._cold = ColdUpstreams(self._service_terms, settings.bounds)
        self._fleet = Fleet(
            self._directory,
            settings.failure_domain,
            self._random,
            self._peers.running,
            self._slow.current,
            LimitPermits(
                self._peers,
                lambda outcome: self._metrics.record_permit(outcome.value),
                cold=self._cold,
            ),
            groups=self._groups,
        )
        quarantine_settings = QuarantineSettings()
        crash_recorded = curio.Event()
        self._quarantine = PromptQuarantine(
            quarantine_settings, lambda service: self._gateway.fails_together(service)
        )
        self._guard = PromptGuard(
            self._quarantine,
            self._fleet,
            settings.host,
            lambda service, cause: self._metrics.record_loss(service, cause.value),
            crash_recorded,
        )
        self._gateway = Gateway(
            settings,
            self._fleet,
            PlatformWire(),
            self._random,
            self._metrics.record_request,
            self._guard,
            groups=self._groups,
        )
        self._memory = MemoryGate(memory_settings(settings.memory_bytes))
        most = HttpLimits().max_connections
        self._server = HttpServer(
            settings.callers,
            self._gateway.handle,
            HttpLimits(max_connections=caller_connections(settings.max_descriptors, most)),
            listening=listening,
            memory=self._memory,
        )
        self._watching = watch_timing(settings.bounds)
        self._store = PlatformStore(
            settings.store.address, StoreTimeouts(STORE_CALL_S), self._watching
        )
        self._view = StoreView(
            self._store,
            PlatformCatalogue(),
            self._directory,
            self._put_in_force,
            MonotonicClock(),
            self._random,
            watch_check_s(self._watching),
            self._cold,
        )
        self._crashes = CrashExchange(
            self._quarantine,
            quarantine_settings,
            self._store,
            self._view,
            f"{OWN_PREFIX}crashes/",
            settings.host,
            crash_recorded,
        )
        setup = MapsSetup(
            settings, OWN_PREFIX, self._store, self._view, self._is_silent, self._random
        )
        self._role = setup.placement_role()
        self._maps = setup.expert_maps(
            self._role,
            EngineClient(settings.ports.first, self._fleet.accepts_requests),
            self._directory,
            lambda: self._gateway.deployment,
            self._slow,
            self._load,
            self._groups,
        )
        self._connect_entries()
        self._lifecycle = Lifecycle(self._gateway, self._server, settings.bounds)
        self._readiness = HttpServer(
            settings.readiness,
            readiness_handler(lambda: self._lifecycle.ready, READY_PATH),
            PROBE_LIMITS,
            memory=self._memory,
        )
        register_gauges(self._metrics, self._gateway, self._view, self._role, self._fleet)
        register_store_gauges(self._metrics, lambda: self._store.era)
        register_map_gauges(self._metrics, self._maps)
        register_evacuation_gauges(self._metrics, self._fleet)
        register_shedding_gauges(self._metrics, self._gateway)
        register_memory_gauges(self._metrics, self._memory, self._server)
        register_quarantine_gauges(self._metrics, self._quarantine, self._guard)
        address = Address(settings.ip, METRICS_PORT)
        self._collectors = HttpServer(
            address, metrics_handler(self._metrics, METRICS_PATH), PROBE_LIMITS, memory=self._memory
        )

    async def run(self) -> None:
        """Serve until told to stop, then stop gracefully."""
        signals = StopSignals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        await self._start()
        while (received := await signals.next()).number == signal.SIGHUP:
            _reload(self._settings)
        _log.info(
            "stopping",
            signal=received.number.name,
            noticed_after_s=round(time.monotonic() - received.received_at, 3),
            in_progress=self._gateway.in_progress,
        )
        # In the background: a store that does not answer must not delay the stop.
        await spawn_background(self._role.resign)
        await self._maps.resign()
        await self._lifecycle.stop(received.received_at)
        _log.info("stopped", in_progress=self._gateway.in_progress)

    async def _start(self) -> None:
        """Start the servers and the background tasks."""
        servers = (self._server, self._readiness, self._collectors)
        for task in (*(server.run for server in servers), self._catch_up.serve):
            await spawn_background(task)
        gossip = self._gossip
        for task in (self._view.run, self._catch_up.run, gossip.run, gossip.keep_registered):
            await spawn_background(task)
        for task in (self._role.run, self._maps.run, self._crashes.run, self._clean_up):
            await spawn_background(task)
        settings = self._settings
        _log.info("started", callers=str(settings.callers), domain=settings.failure_domain)

    def _is_silent(self, entry: str) -> bool:
        """Return whether an entry has been silent while others kept sending."""
        return self._gossip.is_silent(entry)

    def _service_terms(self, service: str) -> ServiceTerms | None:
        """Return the terms of a service, none before the first configuration."""
        deployment = self._gateway.deployment
        return None if deployment is None else deployment.services.get(service)

    def _load(self, service: str, ranks: Collection[str]) -> float:
        """Return the fraction of a group's slots that all entries occupy."""
        if self._groups.groups(service):
            return self._fleet.load_of(ranks)
        return self._fleet.slot_usage(service, time.monotonic()).load

    def _connect_entries(self) -> None:
        """Create the exchange of status and store copies with other entries."""
        settings = self._settings
        self._peer_address = Address(settings.ip, settings.ports.first)
        self._incarnation = new_incarnation()
        self._status_numbers = itertools.count(1)
        self._catch_up = CatchUp(self._peer_address, self._view, self._peers, self._watching.call_s)
        key = f"{OWN_PREFIX}entries/{settings.host}"
        self._gossip = Gossip(
            self._peer_address,
            key,
            self._store,
            self._view,
            self._peers,
            self._slow,
            self._fleet,
            self._entry_status,
            self._crashes,
        )

    def _entry_status(self) -> EntryStatus:
        """Return the next status for the other entries."""
        now = time.monotonic()
        surveys = self._role.lease() is not None
        return EntryStatus(
            self._settings.host,
            self._incarnation,
            next(self._status_numbers),
            str(self._peer_address),
            min(self._view.silence_s(), NEVER_REACHED_S),
            self._fleet.running_here(),
            dict(self._slow.current(now)) if surveys else None,
            self._directory.recently_leaving(now),
            self._crashes.outgoing(now),
            self._quarantine.probes,
            self._fleet.permits.reports(now),
            min(self._view.outage_age_s(), NEVER_REACHED_S),
            self._view.position.era,
            self._view.position.revision,
            self._slow.outgoing(now) if surveys or self._maps.managed else None,
            self._cold.reports(now),
        )

    def _put_in_force(self, deployment: Deployment) -> bool:
        """Apply a configuration and the limits on callers that it declares."""
        in_force = self._gateway.apply_deployment(deployment)
        if in_force:
            self._server.limits = _http_limits(deployment)
        return in_force

    async def _clean_up(self) -> None:
        """Drop removed upstreams and count the entries, until cancelled."""
        while True:
            await curio.sleep(CLEANUP_INTERVAL_S)
            others = self._gossip.others
            if others is not None:
                self._gateway.set_entries(1 + others)
                self._fleet.set_other_entries(others, status_age_s(others))
            self._view.expire_evacuations()
            store_answers = self._view.silence_s() < self._watching.call_s
            self._cold.expire(self._directory.upstreams, store_answers, time.monotonic())
            await self._fleet.forget_departed()


async def _run(settings: HostSettings, listening: socket.socket) -> None:
    """Run until told to stop."""
    configure_serving_logs(process=settings.host)
    await _Process(settings, listening).run()


def _reload(settings: HostSettings) -> None:
    """Read the settings file again and log what changed; changes need a restart."""
    try:
        changed = read_settings(settings_path())
    except SettingsError as error:
        _log.error("settings refused; the old ones stay in force", error=str(error))
        return
    names = [
        name for name in settings.__slots__ if getattr(settings, name) != getattr(changed, name)
    ]
    _log.info("settings read again", changed=names, need_restart=names)


def serve(settings: HostSettings, listening: socket.socket) -> None:
    """Serve the callers that connect to a listening socket until told to stop."""
    run_program(_run, settings, listening)
