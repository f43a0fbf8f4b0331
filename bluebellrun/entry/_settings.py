"""Settings of the entry."""

from pydantic import Field

from bluebellrun.conf import (
    AddressSetting,
    CallerTlsSettings,
    HttpSettings,
    LinkSettings,
    ProcessSettings,
    StoreSettings,
)
from bluebellrun.core import Address


class EntrySettings(ProcessSettings, StoreSettings, HttpSettings, CallerTlsSettings, LinkSettings):
    """Run an entry: HTTP towards callers, links towards agents."""

    listen: AddressSetting = Field(
        default=Address("127.0.0.1", 0), description="IP:PORT for callers' HTTP."
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
