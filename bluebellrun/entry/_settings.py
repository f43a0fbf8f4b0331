"""Settings of the entry."""

from pydantic import Field

from bluebellrun.conf import AddressSetting, ControlSettings, HttpSettings
from bluebellrun.core import Address


class EntrySettings(ControlSettings, HttpSettings):
    """Run an entry: HTTP towards callers, links towards agents."""

    listen: AddressSetting = Field(
        default=Address("127.0.0.1", 0), description="IP:PORT for callers' HTTP."
    )
    link_listen: AddressSetting = Field(
        default=Address("127.0.0.1", 0), description="IP:PORT for links from peers."
    )
    entries_per_upstream: int = Field(
        default=3,
        gt=0,
        description="Entries of a failure domain that keep a link to each upstream.",
    )
    routing_policy: str = Field(
        default="expected-finish", description="Policy that chooses an upstream."
    )
    max_attempts: int = Field(
        default=4, gt=0, description="Most upstreams that one request is offered to."
    )
    retry_ratio: float = Field(
        default=0.2, ge=0, description="Retries allowed for each first attempt."
    )
    default_deadline_s: float = Field(
        default=60.0, gt=0, description="Deadline where neither caller nor priority sets one, in s."
    )
    flush_interval_s: float = Field(
        default=0.0, ge=0, description="Time in which messages to an agent are collected, in s."
    )
    resume_patience_s: float = Field(
        default=8.0,
        ge=0,
        description="Longest time spent on resuming an answer after a lost link, in s.",
    )
    fate_timeout_s: float = Field(
        default=1.0,
        gt=0,
        description="Longest wait for an agent to tell what became of a late request, in s.",
    )
