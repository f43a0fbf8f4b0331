"""Settings of the agent."""

from typing import Literal

from pydantic import Field

from bluebellrun.conf import AddressSetting, ControlSettings
from bluebellrun.core import Address


class AgentSettings(ControlSettings):
    """Run the agent beside one upstream: admission, drain and relay of answers."""

    service: str = Field(description="Name of the service that the upstream serves.")
    listen: AddressSetting = Field(
        default=Address("127.0.0.1", 0), description="IP:PORT for links from entries and peers."
    )
    upstream: AddressSetting = Field(description="IP:PORT of the upstream, usually loopback.")
    protocol: Literal["model", "plain"] = Field(
        default="model", description="What the upstream speaks."
    )
    group: str = Field(
        default="", description="Model group that the upstream is a rank of; empty for none."
    )
    order_timeout_s: float = Field(
        default=5.0, gt=0, description="Longest wait for the engine to answer an order, in s."
    )
    admission_policy: str = Field(default="fair", description="Policy that picks the next work.")
    concurrency: int = Field(
        default=32, gt=0, description="Requests at the upstream at once, at first."
    )
    max_waiting: int = Field(default=4_096, gt=0, description="Most requests that wait.")
    engine_preempts: bool = Field(
        default=False,
        description="Whether the engine pauses less urgent work for more urgent work.",
    )
    max_answers: int = Field(default=1_024, gt=0, description="Most requests held at once.")
    upstream_connect_timeout_s: float = Field(
        default=1.0, gt=0, description="Deadline for connecting to the upstream, in s."
    )
    first_byte_timeout_s: float = Field(
        default=30.0, gt=0, description="Longest wait for an answer's first byte, in s."
    )
    gap_timeout_s: float = Field(
        default=10.0, gt=0, description="Longest silence inside an answer, in s."
    )
    load_interval_s: float = Field(
        default=5.0, gt=0, description="Time between reads of a model engine's load, in s."
    )
    flush_interval_s: float = Field(
        default=0.0, ge=0, description="Time in which pieces of answers are collected, in s."
    )
    resume_grace_s: float = Field(
        default=10.0, ge=0, description="Time kept for an entry to resume after a lost link, in s."
    )
    fate_horizon_s: float = Field(
        default=600.0, gt=0, description="Time for which fates of attempts are remembered, in s."
    )
    max_fates: int = Field(
        default=100_000, gt=0, description="Most fates of attempts that are remembered."
    )
    ledger_shards: int = Field(
        default=4, gt=0, description="Shards of the service's ledger; the same at all its agents."
    )
    ledger_writes_per_s: float = Field(
        default=100.0, gt=0, description="Most writes a second of this agent to the ledger."
    )
    ledger_retention_s: float = Field(
        default=86_400.0, gt=0, description="Time for which idempotency keys are kept, in s."
    )
    ledger_result_bytes: int = Field(
        default=2_048, ge=0, description="Largest answer that is kept for a repeated key."
    )
    claim_timeout_s: float = Field(
        default=1.0, gt=0, description="Longest wait for the ledger before a request, in s."
    )
    claim_wait_s: float = Field(
        default=10.0, ge=0, description="Longest wait for an earlier request with the key, in s."
    )
