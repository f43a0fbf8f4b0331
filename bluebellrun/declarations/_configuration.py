"""The configuration in force: aggregates built from validated documents."""

from collections.abc import Iterable
from dataclasses import dataclass

from bluebellrun.core import parse_address
from bluebellrun.customers import Customer, CustomerRegistry, hash_key
from bluebellrun.declarations._models import (
    CustomerDocument,
    Document,
    ModelGroupDocument,
    ModelVersionDocument,
    ObjectiveDocument,
    OperatorDocument,
    PriorityDocument,
    ServiceDocument,
    ShareDocument,
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
class ModelVersionRule:
    """A version of a model: its place in the weight store and its size in bytes."""

    name: str
    model: str
    weights: str
    weights_bytes: int
    layers: int
    experts_per_layer: int


@dataclass(frozen=True, slots=True)
class ModelGroupRule:
    """What operators want of a group of ranks in lock-step.

    ``rebalance`` rises with each order to rebalance; ``max_moved_bytes`` of 0 sets no limit.
    """

    name: str
    service: str
    ranks: int
    version: str
    previous_version: str
    rebalance: int
    max_moved_bytes: int
    capacity_floor: float
    paused: bool


@dataclass(frozen=True, slots=True)
class Objective:
    """The shares of a priority's requests to answer on time and whole.

    ``urgency`` is the priority's number; an empty customer means all customers together.
    """

    name: str
    priority: str
    urgency: int
    customer: str
    on_time: float
    whole: float


@dataclass(frozen=True, slots=True)
class OperatorRule:
    """An operator's token hashes and roles."""

    name: str
    token_hashes: tuple[str, ...]
    roles: frozenset[str]


@dataclass(frozen=True, slots=True)
class Configuration:
    """All declarations of one version."""

    version: int
    customers: CustomerRegistry
    services: ServiceRegistry
    priorities: tuple[PriorityRule, ...]
    upstreams: tuple[Upstream, ...]
    model_groups: tuple[ModelGroupRule, ...] = ()
    model_versions: tuple[ModelVersionRule, ...] = ()
    objectives: tuple[Objective, ...] = ()
    operators: tuple[OperatorRule, ...] = ()

    def find_operator(self, token: str) -> OperatorRule | None:
        """Return the operator that a token belongs to, or none."""
        hashed = hash_key(token)
        return next((item for item in self.operators if hashed in item.token_hashes), None)

    def model_group(self, name: str) -> ModelGroupRule | None:
        """Return a group by name, or none."""
        return next((item for item in self.model_groups if item.name == name), None)

    def model_version(self, name: str) -> ModelVersionRule | None:
        """Return a model's version by name, or none."""
        return next((item for item in self.model_versions if item.name == name), None)

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
    listed = list(documents)
    shares = [item for item in listed if isinstance(item, ShareDocument)]
    upstreams = [_upstream(item) for item in listed if isinstance(item, UpstreamDocument)]
    services = [_service(item) for item in listed if isinstance(item, ServiceDocument)]
    customers = [_customer(x, shares) for x in listed if isinstance(x, CustomerDocument)]
    priorities = [_priority(item) for item in listed if isinstance(item, PriorityDocument)]
    priorities.sort(key=lambda rule: rule.urgency)
    return Configuration(
        version=version,
        customers=CustomerRegistry(customers),
        services=ServiceRegistry(services, upstreams),
        priorities=tuple(priorities),
        upstreams=tuple(upstreams),
        model_groups=tuple(_group(x) for x in listed if isinstance(x, ModelGroupDocument)),
        model_versions=tuple(_version(x) for x in listed if isinstance(x, ModelVersionDocument)),
        objectives=_objectives(listed, priorities),
        operators=tuple(_operator(x) for x in listed if isinstance(x, OperatorDocument)),
    )


def _customer(document: CustomerDocument, shares: list[ShareDocument]) -> Customer:
    """Return the customer a document declares, with its shares of single services."""
    own = {item.service: item.weight for item in shares if item.customer == document.name}
    return Customer(
        name=document.name,
        key_hashes=tuple(document.key_hashes),
        most_urgent=document.most_urgent,
        share=document.share,
        services=tuple(document.services),
        service_shares=own,
    )


def _objectives(documents: list[Document], rules: list[PriorityRule]) -> tuple[Objective, ...]:
    """Return the objectives whose priorities are declared."""
    urgencies = {rule.name: rule.urgency for rule in rules}
    return tuple(
        Objective(
            name=document.name,
            priority=document.priority,
            urgency=urgencies[document.priority],
            customer=document.customer,
            on_time=document.on_time,
            whole=document.whole,
        )
        for document in documents
        if isinstance(document, ObjectiveDocument) and document.priority in urgencies
    )


def _group(document: ModelGroupDocument) -> ModelGroupRule:
    """Return the group a document declares."""
    return ModelGroupRule(**document.model_dump(exclude={"kind"}))


def _version(document: ModelVersionDocument) -> ModelVersionRule:
    """Return the version a document declares."""
    return ModelVersionRule(**document.model_dump(exclude={"kind"}))


def _operator(document: OperatorDocument) -> OperatorRule:
    """Return the operator a document declares."""
    hashes = tuple(document.token_hashes)
    return OperatorRule(document.name, hashes, frozenset(document.roles))


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
        group=document.group,
        rank=document.rank,
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
