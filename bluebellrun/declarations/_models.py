"""The kinds of document, one pydantic model each."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

from bluebellrun.core import parse_address
from bluebellrun.upstreams import Protocol, UpstreamState

NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
HASH_PATTERN = r"^[0-9a-f]{64}$"
MOST_URGENT = 0
LEAST_URGENT = 7

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
KeyHash = Annotated[str, Field(pattern=HASH_PATTERN)]
Urgency = Annotated[int, Field(ge=MOST_URGENT, le=LEAST_URGENT)]
Role = Literal["viewer", "planner", "confirmer"]


class Document(BaseModel):
    """What all documents have: a kind and a name, unique within the kind."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: str
    name: Name


class CustomerDocument(Document):
    """A customer: the hashes of its keys (two while rotating), its priority cap and share."""

    kind: Literal["customer"] = "customer"
    key_hashes: list[KeyHash] = Field(min_length=1, max_length=2)
    most_urgent: Urgency = MOST_URGENT
    share: float = Field(default=1.0, gt=0)
    services: list[Name] = []


class PriorityDocument(Document):
    """A priority: its urgency number, its deadlines in seconds and the floor it keeps."""

    kind: Literal["priority"] = "priority"
    urgency: Urgency
    first_token_s: float = Field(default=2.0, gt=0)
    token_gap_s: float = Field(default=0.5, gt=0)
    deadline_s: float = Field(default=60.0, gt=0)
    floor: float = Field(default=0.0, ge=0, le=1)


class ServiceDocument(Document):
    """A service: what it speaks, its models and the methods that may run more than once."""

    kind: Literal["service"] = "service"
    protocol: Protocol
    models: list[str] = []
    idempotent_methods: list[str] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]


class UpstreamDocument(Document):
    """An upstream: its service, its agent's address, where it stands and its rank in a group."""

    kind: Literal["upstream"] = "upstream"
    service: Name
    agent: str
    host: str = ""
    region: str = ""
    failure_domain: str = ""
    state: UpstreamState = UpstreamState.ACTIVE
    group: str = ""
    rank: int = Field(default=0, ge=0)

    @field_validator("agent")
    @classmethod
    def _check_agent(cls, value: str) -> str:
        """Refuse what is not IP:PORT."""
        return str(parse_address(value))


class ModelVersionDocument(Document):
    """A version of a model: where its weights lie in the weight store and their size in bytes."""

    kind: Literal["model-version"] = "model-version"
    model: str = Field(min_length=1)
    weights: str = Field(min_length=1)
    weights_bytes: int = Field(gt=0)
    layers: int = Field(default=1, gt=0)
    experts_per_layer: int = Field(default=1, gt=0)


class ModelGroupDocument(Document):
    """A group of ranks in lock-step: its service, desired version and wish for rebalancing.

    ``rebalance`` rises by one with each operator's order to rebalance; ``paused`` holds every
    shift and rebalance; ``capacity_floor`` is the share of the service's capacity that a shift
    keeps.
    """

    kind: Literal["model-group"] = "model-group"
    service: Name
    ranks: int = Field(gt=0)
    version: Name
    previous_version: str = ""
    rebalance: int = Field(default=0, ge=0)
    max_moved_bytes: int = Field(default=0, ge=0)
    capacity_floor: float = Field(default=0.5, ge=0, le=1)
    paused: bool = False


class ShareDocument(Document):
    """A customer's weight beside others on one service, in place of its general share."""

    kind: Literal["share"] = "share"
    customer: Name
    service: Name
    weight: float = Field(gt=0)


class ObjectiveDocument(Document):
    """A service-level objective of a priority, for one customer or for all together.

    ``on_time`` and ``whole`` are the target shares of requests, below 1 so that there is an
    error budget.
    """

    kind: Literal["objective"] = "objective"
    priority: Name
    customer: str = ""
    on_time: float = Field(default=0.99, gt=0, lt=1)
    whole: float = Field(default=0.999, gt=0, lt=1)


class OperatorDocument(Document):
    """An operator: the hashes of its tokens (two while rotating) and what it may do."""

    kind: Literal["operator"] = "operator"
    token_hashes: list[KeyHash] = Field(min_length=1, max_length=2)
    roles: list[Role] = ["viewer"]


KINDS: dict[str, type[Document]] = {
    "customer": CustomerDocument,
    "model-group": ModelGroupDocument,
    "model-version": ModelVersionDocument,
    "objective": ObjectiveDocument,
    "operator": OperatorDocument,
    "priority": PriorityDocument,
    "service": ServiceDocument,
    "share": ShareDocument,
    "upstream": UpstreamDocument,
}
