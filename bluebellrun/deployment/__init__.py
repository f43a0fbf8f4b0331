"""What a deployment declares: routes, services, customers, limits, and this host's settings."""

from bluebellrun.deployment._host import Bounds, HostSettings, ReservedPorts, StoreTerms
from bluebellrun.deployment._models import (
    CallerLimits,
    Customer,
    Deployment,
    DomainDelay,
    EngineTerms,
    ExpertTerms,
    Repeat,
    Route,
    ServiceTerms,
    Share,
)

__all__ = [
    "Bounds",
    "CallerLimits",
    "Customer",
    "Deployment",
    "DomainDelay",
    "EngineTerms",
    "ExpertTerms",
    "HostSettings",
    "Repeat",
    "ReservedPorts",
    "Route",
    "ServiceTerms",
    "Share",
    "StoreTerms",
]
