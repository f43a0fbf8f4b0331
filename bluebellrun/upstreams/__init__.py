"""Upstreams and the services that they belong to."""

from bluebellrun.upstreams._models import (
    Protocol,
    Service,
    ServiceRegistry,
    Upstream,
    UpstreamState,
)

__all__ = ["Protocol", "Service", "ServiceRegistry", "Upstream", "UpstreamState"]
