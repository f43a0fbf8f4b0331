"""The ``bluebellrun-agent`` program: builds and runs the agent's components."""

import sys

import curio

from bluebellrun.admission import AdmissionSettings, make_admission
from bluebellrun.agent._agent import Agent
from bluebellrun.agent._calls import AgentCalls
from bluebellrun.agent._claim_wiring import make_claims
from bluebellrun.agent._engine_load import EngineLoadPoller
from bluebellrun.agent._orders import EngineOrders
from bluebellrun.agent._settings import AgentSettings
from bluebellrun.conf import EXIT_BAD_SETTING, settings_command
from bluebellrun.coordinator import AgentLinks, GroupCoordinator
from bluebellrun.core import MonotonicClock, new_incarnation
from bluebellrun.distribution import link_timing, make_node
from bluebellrun.engines import (
    LoadClient,
    ModelEngine,
    OrderClient,
    PlainService,
    UpstreamClient,
    UpstreamKind,
    UpstreamTimeouts,
)
from bluebellrun.groups import RebalanceSettings
from bluebellrun.http import TlsError, peer_links
from bluebellrun.messages import ORDER_PATH
from bluebellrun.runtime import (
    StopSignals,
    configure_link_security,
    granted_descriptors,
    make_memory,
    run_program,
    spawn_background,
    warn_about_plaintext_links,
)
from bluebellrun.store import EtcdStore, StoreTimeouts
from bluebellrun.telemetry import Metrics, configure_logs, get_logger
from bluebellrun.transport import MAX_LINKS, Call, LinkServer

EXIT_ABORTED = 3
FINAL_FLUSH_S = 0.05
ABORT_TIMEOUT_S = 0.5
ORDER_TIMEOUTS_PER_CALL = 3

_log = get_logger("agent")


def _make_client(settings: AgentSettings) -> UpstreamClient:
    """Return the client of the upstream."""
    kind: UpstreamKind = ModelEngine() if settings.protocol == "model" else PlainService()
    timeouts = UpstreamTimeouts(
        connect_s=settings.upstream_connect_timeout_s,
        first_byte_s=settings.first_byte_timeout_s,
        gap_s=settings.gap_timeout_s,
    )
    return UpstreamClient(settings.upstream, kind, timeouts)


def _make_agent(settings: AgentSettings, store: EtcdStore) -> Agent:
    """Return an agent for ``settings``."""
    incarnation = new_incarnation()
    bounds = AdmissionSettings(
        concurrency=settings.concurrency,
        max_waiting=settings.max_waiting,
        engine_preempts=settings.engine_preempts,
        learn_concurrency=settings.protocol == "model",
    )
    return Agent(
        settings=settings,
        incarnation=incarnation,
        admission=make_admission(settings.admission_policy, bounds),
        client=_make_client(settings),
        claims=make_claims(settings, incarnation, store, MonotonicClock()),
        clock=MonotonicClock(),
        metrics=Metrics(settings.statsd, "bluebellrun"),
    )


def _make_orders(settings: AgentSettings, store: EtcdStore) -> EngineOrders:
    """Return the component that sends orders to the engine."""
    client = OrderClient(settings.upstream, settings.order_timeout_s)
    return EngineOrders(
        settings.name, settings.group, settings.store_prefix, client, store, MonotonicClock()
    )


def _make_coordinator(settings: AgentSettings, store: EtcdStore) -> GroupCoordinator:
    """Return the coordinator of the engine's group."""
    return GroupCoordinator(
        settings.group,
        settings.name,
        settings.store_prefix,
        store,
        AgentLinks(link_timing(settings), settings.order_timeout_s * ORDER_TIMEOUTS_PER_CALL),
        MonotonicClock(),
        RebalanceSettings(),
    )


async def _serve(settings: AgentSettings) -> int:
    """Run the agent until a stop signal; return the exit status."""
    signals = StopSignals()
    store = EtcdStore(settings.store, StoreTimeouts(settings.store_timeout_s))
    agent = _make_agent(settings, store)
    configure_logs(settings, process=settings.name, incarnation=agent.incarnation)
    configure_link_security(settings)
    warn_about_plaintext_links(settings.listen)
    timing = link_timing(settings)
    memory = make_memory(settings)
    orders = _make_orders(settings, store)

    async def handle_other(call: Call) -> None:
        if call.path == ORDER_PATH:
            await orders.serve(call)
        else:
            await node.serve_call(call)

    async def handle_call(call: Call) -> None:
        await calls.handle(call)

    listener = LinkServer(
        settings.listen,
        handle_call,
        timing,
        peer_links(granted_descriptors(), MAX_LINKS),
        memory,
    )
    node = make_node(settings, "agent", listener.address, store, MonotonicClock())
    calls = AgentCalls(agent, agent.claims, handle_other)
    node.follower.add_listener(agent.apply_configuration)
    node.add_departure_listener(agent.apply_departures)
    coordinator = _make_coordinator(settings, store)
    if settings.group:
        node.follower.add_listener(coordinator.apply_configuration)
    await spawn_background(listener.run)
    await node.run()
    await spawn_background(agent.run)
    await spawn_background(orders.run)
    if settings.group:
        await spawn_background(coordinator.run)
    await _start_load_poller(settings)
    _log.info("ready", listen=str(listener.address), upstream=str(settings.upstream))
    await signals.next()
    await spawn_background(node.leave)
    status = await _stop(agent, signals, settings.stop_grace_s)
    await node.close()
    return status


async def _start_load_poller(settings: AgentSettings) -> None:
    """Start polling the load of a model engine."""
    if settings.protocol != "model":
        return
    client = LoadClient(settings.upstream, settings.upstream_connect_timeout_s)
    metrics = Metrics(settings.statsd, "bluebellrun")
    poller = EngineLoadPoller(client, settings.load_interval_s, MonotonicClock(), metrics)
    await spawn_background(poller.run)


async def _stop(agent: Agent, signals: StopSignals, grace_s: float) -> int:
    """Stop gracefully; a second signal or the end of ``grace_s`` aborts unsettled attempts."""
    async with curio.ignore_after(grace_s), curio.TaskGroup(wait=any) as group:
        await group.spawn(agent.stop)
        await group.spawn(signals.next)
    if agent.unsettled:
        _log.error("stopped with work in progress", cut_off=agent.describe_unsettled())
        async with curio.ignore_after(ABORT_TIMEOUT_S):
            await agent.abort()
            await curio.sleep(FINAL_FLUSH_S)
        return EXIT_ABORTED
    if agent.claims.unwritten:
        _log.error("stopped before settlements were written", keys=agent.claims.unwritten)
        return EXIT_ABORTED
    await curio.sleep(FINAL_FLUSH_S)
    _log.info("stopped")
    return 0


def _start(settings: AgentSettings) -> int:
    """Run the agent in curio's loop."""
    try:
        return int(run_program(_serve, settings))
    except TlsError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_SETTING


run = settings_command(AgentSettings, _start)

if __name__ == "__main__":
    run()
