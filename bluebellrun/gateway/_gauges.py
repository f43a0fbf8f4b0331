"""The gauges of a gateway's state."""

import time
from collections.abc import Callable

from bluebellrun.expert_maps import PlacementRole
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._gateway import Gateway
from bluebellrun.gateway._prompt_guard import PromptGuard
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.http import HttpServer, MemoryGate
from bluebellrun.quarantine import PromptQuarantine
from bluebellrun.telemetry import ServingMetrics


def register_gauges(
    metrics: ServingMetrics,
    gateway: Gateway,
    view: StoreView,
    role: PlacementRole,
    fleet: Fleet,
) -> None:
    """Register the gauges of the process's state."""

    def version() -> float:
        return 0 if gateway.deployment is None else gateway.deployment.version

    metrics.gauge("bluebellrun_in_progress", "Requests in progress", lambda: gateway.in_progress)
    metrics.gauge("bluebellrun_configuration_version", "Configuration in force", version)
    metrics.gauge(
        "bluebellrun_store_silence_seconds", "Seconds since the store spoke", view.silence_s
    )
    metrics.gauge(
        "bluebellrun_limited_upstreams",
        "Upstreams that name a rate limit",
        lambda: len(fleet.permits.limits.limited()),
    )
    metrics.gauge_by_service(
        "bluebellrun_unavailable_groups",
        "Groups that accept no work, of services with several",
        lambda: fleet.groups.unavailable_counts(time.monotonic()),
    )
    metrics.gauge(
        "bluebellrun_keeps_maps",
        "1 if this process keeps the expert maps",
        lambda: float(role.lease() is not None),
    )


def register_store_gauges(metrics: ServingMetrics, era: Callable[[], float]) -> None:
    """Register the gauges of the store; ``era`` returns its era."""
    metrics.gauge("bluebellrun_store_era", "How often the store was restored from a copy", era)


def register_evacuation_gauges(metrics: ServingMetrics, fleet: Fleet) -> None:
    """Register the gauges of evacuations and cold upstreams."""
    metrics.gauge(
        "bluebellrun_evacuated_domains",
        "Failure domains whose upstreams get no requests",
        lambda: len(fleet.directory.evacuated_domains),
    )
    metrics.gauge(
        "bluebellrun_cold_upstreams",
        "Upstreams that are cold, or may be as they were unreachable",
        lambda: fleet.cold.count(time.monotonic()),
    )
    metrics.gauge(
        "bluebellrun_cold_denials",
        "Permits denied because an upstream is cold, since the start",
        lambda: fleet.permits.cold_denials,
    )


def register_memory_gauges(metrics: ServingMetrics, memory: MemoryGate, server: HttpServer) -> None:
    """Register the gauges of what is held for callers."""
    metrics.gauge("bluebellrun_held_bytes", "Bytes held for callers", lambda: memory.budget.held)
    metrics.gauge(
        "bluebellrun_held_bytes_bound",
        "Most bytes held for callers, 0 without a bound",
        lambda: memory.budget.settings.total_bytes,
    )
    metrics.gauge(
        "bluebellrun_waiting_for_memory", "Requests that wait for memory", lambda: memory.waiting
    )
    metrics.gauge(
        "bluebellrun_closed_for_memory",
        "Stalled connections closed as memory was short, since the start",
        lambda: memory.closed,
    )
    metrics.gauge(
        "bluebellrun_refused_for_memory",
        "Requests refused as memory was short, since the start",
        lambda: memory.refused,
    )
    metrics.gauge(
        "bluebellrun_caller_connections",
        "Open connections of callers",
        lambda: server.open_connections,
    )
    metrics.gauge(
        "bluebellrun_closed_for_connections",
        "Idle or stalled connections closed for new ones, since the start",
        lambda: server.closed_idle,
    )


def register_quarantine_gauges(
    metrics: ServingMetrics, quarantine: PromptQuarantine, guard: PromptGuard
) -> None:
    """Register the gauges of the quarantine of prompt parts."""
    metrics.gauge(
        "bluebellrun_suspected_prompt_parts",
        "Parts of prompts under which upstreams crashed",
        quarantine.suspect_count,
    )
    metrics.gauge(
        "bluebellrun_quarantined_requests",
        "Requests not sent because of their prompts, since the start",
        lambda: guard.refusals,
    )
