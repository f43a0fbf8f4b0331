"""Settings shared by several binaries."""

from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import BeforeValidator, Field, field_validator, model_validator
from pydantic_settings import BaseSettings, SettingsConfigDict

from bluebellrun.core import Address, parse_address


def _to_address(value: Any) -> Any:
    """Read an address given as text."""
    return parse_address(value) if isinstance(value, str) else value


AddressSetting = Annotated[Address, BeforeValidator(_to_address)]


class _Settings(BaseSettings):
    """Read fields from flags, then from variables that start with ``BLUEBELLRUN_``."""

    model_config = SettingsConfigDict(env_prefix="BLUEBELLRUN_", frozen=True, enable_decoding=False)


class ProcessSettings(_Settings):
    """What every long-running process is told."""

    name: str = Field(description="Name of this process, unique in the fleet.")
    host: str = Field(default="", description="Name of the host it runs on.")
    region: str = Field(default="", description="Region of that host.")
    failure_domain: str = Field(default="", description="Failure domain of that host.")
    log_format: Literal["json", "console"] = Field(
        default="json", description="Format of logs on standard error."
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="Least level that is logged."
    )
    statsd: AddressSetting | None = Field(
        default=None, description="IP:PORT of a statsd daemon; none sends no metrics."
    )
    fatal_invariants: bool = Field(
        default=False, description="Stop the process when a runtime invariant is violated."
    )
    memory_mb: float = Field(
        default=0.0, ge=0, description="Megabytes that the process may use; 0: no bound."
    )
    stop_grace_s: float = Field(
        default=600.0, gt=0, description="Longest wait for work in progress at a stop, in s."
    )


class StoreSettings(_Settings):
    """How the platform's key-value service is reached."""

    store: AddressSetting = Field(description="IP:PORT of the key-value service's JSON gateway.")
    store_prefix: str = Field(
        default="/bluebellrun", description="Prefix of all keys in the key-value service."
    )
    store_timeout_s: float = Field(
        default=2.0, gt=0, description="Deadline of one call to the key-value service, in s."
    )


class HttpSettings(_Settings):
    """Limits on HTTP from callers."""

    max_header_bytes: int = Field(default=32_768, gt=0, description="Most bytes of headers.")
    max_body_bytes: int = Field(
        default=8_388_608, gt=0, description="Most bytes of a request's body."
    )
    max_connections: int = Field(default=4_096, gt=0, description="Most open connections.")
    header_timeout_s: float = Field(
        default=10.0, gt=0, description="Deadline for a request's headers, in s."
    )
    body_timeout_s: float = Field(
        default=30.0, gt=0, description="Deadline for a request's body, in s."
    )
    idle_timeout_s: float = Field(
        default=75.0, gt=0, description="Longest idle time of a kept connection, in s."
    )
    write_timeout_s: float = Field(
        default=60.0, gt=0, description="Longest wait for a caller to take bytes, in s."
    )


class CallerTlsSettings(_Settings):
    """TLS towards callers; without it the platform's balancer ends TLS."""

    callers_certificate: Path | None = Field(
        default=None, description="PEM file of the certificate shown to callers."
    )
    callers_key: Path | None = Field(
        default=None, description="PEM file of that certificate's key."
    )

    @model_validator(mode="after")
    def _check_caller_files(self) -> Self:
        """Refuse a certificate without its key, and a key without its certificate."""
        if (self.callers_certificate is None) != (self.callers_key is None):
            raise ValueError("set callers_certificate and callers_key, or neither")
        return self


class LinkSettings(_Settings):
    """Timing of links between processes."""

    link_connect_timeout_s: float = Field(
        default=1.0, gt=0, description="Deadline for opening a link, in s."
    )
    link_ping_interval_s: float = Field(
        default=1.0, gt=0, description="Time between keepalive pings on a link, in s."
    )
    link_ping_timeout_s: float = Field(
        default=2.0, gt=0, description="Silence after which a link is given up, in s."
    )
    link_certificate: Path | None = Field(
        default=None, description="PEM file of this process's certificate for links."
    )
    link_key: Path | None = Field(default=None, description="PEM file of that certificate's key.")
    link_authority: Path | None = Field(
        default=None, description="PEM file of the authority that peers' certificates must be of."
    )
    link_peer_names: str = Field(
        default="",
        description="DNS names, separated by commas, of which a peer's certificate needs one.",
    )
    answer_window_bytes: int = Field(
        default=262_144, gt=0, description="Most unconfirmed bytes of one answer."
    )

    @model_validator(mode="after")
    def _check_link_files(self) -> Self:
        """Refuse a part of the files that links need for TLS."""
        files = (self.link_certificate, self.link_key, self.link_authority)
        if any(files) and not all(files):
            raise ValueError("set link_certificate, link_key and link_authority, or none of them")
        if self.link_peer_names and not all(files):
            raise ValueError("link_peer_names needs link_certificate, link_key and link_authority")
        return self


class ControlSettings(ProcessSettings, StoreSettings, LinkSettings):
    """How a process takes part in the control plane."""

    fleet_size: int = Field(
        default=100,
        gt=0,
        description="Processes that share the key-value service's rates.",
    )
    store_reads_per_s: float = Field(
        default=2_000.0, gt=0, description="Reads a second that the key-value service takes."
    )
    store_writes_per_s: float = Field(
        default=300.0, gt=0, description="Writes a second that the key-value service takes."
    )
    peers: str = Field(
        default="",
        description="Some peers' IP:PORT, comma between, for a start with the store down.",
    )
    host_list: AddressSetting | None = Field(
        default=None, description="IP:PORT of the platform's host list; none does without it."
    )
    advertise: AddressSetting | None = Field(
        default=None, description="IP:PORT that peers reach this process by; none: as it listens."
    )

    @field_validator("peers")
    @classmethod
    def _check_peers(cls, value: str) -> str:
        """Refuse what is not a list of IP:PORT."""
        return ",".join(str(address) for address in _addresses(value))

    @property
    def peer_addresses(self) -> tuple[Address, ...]:
        """Return the peers' addresses."""
        return _addresses(self.peers)


def _addresses(text: str) -> tuple[Address, ...]:
    """Read addresses separated by commas."""
    return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())
