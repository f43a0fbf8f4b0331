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
    """An upstream: its service, its agent's address and where it stands."""

    kind: Literal["upstream"] = "upstream"
    service: Name
    agent: str
    host: str = ""
    region: str = ""
    failure_domain: str = ""
    state: UpstreamState = UpstreamState.ACTIVE

    @field_validator("agent")
    @classmethod
    def _check_agent(cls, value: str) -> str:
        """Refuse what is not IP:PORT."""
        return str(parse_address(value))


KINDS: dict[str, type[Document]] = {
    "customer": CustomerDocument,
    "priority": PriorityDocument,
    "service": ServiceDocument,
    "upstream": UpstreamDocument,
}
