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
