"""The gauges of a gateway's state."""

import time
from collections.abc import Callable

from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._gateway import Gateway
from bluebellrun.gateway._prompt_guard import PromptGuard
from bluebellrun.gateway._role import PlacementRole
from bluebellrun.gateway._store_view import StoreView
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
    metrics.gauge(
        "bluebellrun_keeps_maps",
        "1 if this process keeps the expert maps",
        lambda: float(role.lease() is not None),
    )


def register_store_gauges(metrics: ServingMetrics, era: Callable[[], float]) -> None:
    """Register the gauges of the store."""
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
