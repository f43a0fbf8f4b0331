"""Upstreams and the services they serve."""

from bluebellrun.upstreams._models import (
    Protocol,
    Service,
    ServiceRegistry,
    Upstream,
    UpstreamState,
)

__all__ = ["Protocol", "Service", "ServiceRegistry", "Upstream", "UpstreamState"]
