"""The configuration in force: aggregates built from validated documents."""

from collections.abc import Iterable
from dataclasses import dataclass

from bluebellrun.core import parse_address
from bluebellrun.customers import Customer, CustomerRegistry
from bluebellrun.declarations._models import (
    CustomerDocument,
    Document,
    PriorityDocument,
    ServiceDocument,
    UpstreamDocument,
)
from bluebellrun.upstreams import Service, ServiceRegistry, Upstream

DEFAULT_URGENCY = 3
DEFAULT_DEADLINE_S = 60.0


@dataclass(frozen=True, slots=True)
class PriorityRule:
    """The deadlines and floor of one urgency number; times in seconds."""

    name: str
    urgency: int
    first_token_s: float = 2.0
    token_gap_s: float = 0.5
    deadline_s: float = DEFAULT_DEADLINE_S
    floor: float = 0.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All declarations of one version."""

    version: int
    customers: CustomerRegistry
    services: ServiceRegistry
    priorities: tuple[PriorityRule, ...]
    upstreams: tuple[Upstream, ...]

    def priority_rule(self, urgency: int) -> PriorityRule:
        """Return the rule of the nearest declared urgency that is not more urgent."""
        for rule in self.priorities:
            if rule.urgency >= urgency:
                return rule
        return PriorityRule(f"urgency-{urgency}", urgency)

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream by name, or none."""
        return next((item for item in self.upstreams if item.name == name), None)


def build_configuration(version: int, documents: Iterable[Document]) -> Configuration:
    """Return the configuration that documents describe."""
    customers: list[Customer] = []
    services: list[Service] = []
    upstreams: list[Upstream] = []
    priorities: list[PriorityRule] = []
    for document in documents:
        match document:
            case CustomerDocument():
                customers.append(_customer(document))
            case ServiceDocument():
                services.append(_service(document))
            case UpstreamDocument():
                upstreams.append(_upstream(document))
            case PriorityDocument():
                priorities.append(_priority(document))
    priorities.sort(key=lambda rule: rule.urgency)
    return Configuration(
        version=version,
        customers=CustomerRegistry(customers),
        services=ServiceRegistry(services, upstreams),
        priorities=tuple(priorities),
        upstreams=tuple(upstreams),
    )


def _customer(document: CustomerDocument) -> Customer:
    """Return the customer a document declares."""
    return Customer(
        name=document.name,
        key_hashes=tuple(document.key_hashes),
        most_urgent=document.most_urgent,
        share=document.share,
        services=tuple(document.services),
    )


def _service(document: ServiceDocument) -> Service:
    """Return the service a document declares."""
    return Service(
        name=document.name,
        protocol=document.protocol,
        models=tuple(document.models),
        idempotent_methods=tuple(document.idempotent_methods),
    )


def _upstream(document: UpstreamDocument) -> Upstream:
    """Return the upstream a document declares."""
    return Upstream(
        name=document.name,
        service=document.service,
        agent=parse_address(document.agent),
        host=document.host,
        region=document.region,
        failure_domain=document.failure_domain,
        state=document.state,
    )


def _priority(document: PriorityDocument) -> PriorityRule:
    """Return the rule a document declares."""
    return PriorityRule(
        name=document.name,
        urgency=document.urgency,
        first_token_s=document.first_token_s,
        token_gap_s=document.token_gap_s,
        deadline_s=document.deadline_s,
        floor=document.floor,
    )
