"""Services and upstreams."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from bluebellrun.core import Address

IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")


class Protocol(StrEnum):
    """The protocol of a service."""

    MODEL = "model"
    PLAIN = "plain"


class UpstreamState(StrEnum):
    """Whether an upstream accepts new work."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Upstream:
    """A back end and its agent; ``agent`` is the agent's link address."""

    name: str
    service: str
    agent: Address
    host: str = ""
    region: str = ""
    failure_domain: str = ""
    state: UpstreamState = UpstreamState.ACTIVE
    group: str = ""
    rank: int = 0

    @property
    def accepts_work(self) -> bool:
        """Return whether new work may be sent to it."""
        return self.state is UpstreamState.ACTIVE


@dataclass(frozen=True, slots=True)
class Service:
    """A set of upstreams that answer the same requests."""

    name: str
    protocol: Protocol
    models: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = IDEMPOTENT_METHODS

    def repeatable(self, method: str) -> bool:
        """Return whether a request by this method may run more than once.

        Generating text has no side effects, so every model request may be repeated.
        """
        return self.protocol is Protocol.MODEL or method in self.idempotent_methods


class ServiceRegistry:
    """Find services by name or model, and the upstreams of a service."""

    def __init__(self, services: Iterable[Service], upstreams: Iterable[Upstream]) -> None:
        self._services = {service.name: service for service in services}
        self._by_model = {
            model: service for service in self._services.values() for model in service.models
        }
        self._upstreams: dict[str, list[Upstream]] = {name: [] for name in self._services}
        for upstream in upstreams:
            self._upstreams.setdefault(upstream.service, []).append(upstream)

    @property
    def models(self) -> list[str]:
        """Return the names of all models, sorted."""
        return sorted(self._by_model)

    def find(self, name: str) -> Service | None:
        """Return a service by name, or none."""
        return self._services.get(name)

    def find_by_model(self, model: str) -> Service | None:
        """Return the service that serves a model, or none."""
        return self._by_model.get(model)

    def upstreams_of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._upstreams.get(service, [])
