"""Read the settings file of a process."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from bluebellrun.core import Address, parse_address
from bluebellrun.deployment import Bounds, HostSettings, ReservedPorts, StoreTerms

MILLISECOND_S = 0.001
MEGABYTE = 1_000_000
MEGABIT = 1_000_000
# Name in ``contracts`` that asks for load shedding.
LOAD_SHEDDING_CONTRACT = "pressure"


class SettingsError(Exception):
    """The settings file is not valid; the message names the file, the field and the fix."""


class _Limits(msgspec.Struct):
    """Resources that the host grants to one process."""

    ram_mb: float = 0
    max_fds: int = 0
    link_mbps: float = 0


class _Bounds(msgspec.Struct):
    """Required limits on times and ratios; unused fields are ignored."""

    drain_ms: float = 2000
    grace_s: float = 8
    apply_ms: float = 2000
    stable_ms: float = 3000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 90
    need_fence: bool = True
    evac_ms: float = 5000
    cold_excess: float = 1.5
    cold_slack: float = 5


class _Store(msgspec.Struct):
    """The store's address and the calls per second it allows over all processes."""

    addr: str
    writes_per_s: float = 400
    reads_per_s: float = 2000
    ttl_min_ms: float = 1000


class _Listen(msgspec.Struct):
    """Listen addresses: ``front`` for callers, ``ready`` for readiness checks."""

    front: str | None = None
    ready: str | None = None


class _File(msgspec.Struct):
    """The settings file."""

    node: str
    ip: str
    zone: str
    platform: _Store
    port_range: tuple[int, int]
    region: str = ""
    # The address of the upstream on the same host.
    app: str | None = None
    listen: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # Optional rules that the installation asks for; unknown ones are ignored.
    contracts: tuple[str, ...] = ()


def read_settings(path: Path) -> HostSettings:
    """Return the settings of a file; raise ``SettingsError`` if it is not valid."""
    try:
        content = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path} cannot be read: {error}; check the path") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path} is not TOML: {error}; correct the line it names") from error
    return _decode(path, content)


def _decode(path: Path, content: dict[str, Any]) -> HostSettings:
    """Convert the parsed content of a settings file."""
    try:
        file = msgspec.convert(content, _File)
        return _host_settings(file)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{path}: {error}; correct this field") from error


def _host_settings(file: _File) -> HostSettings:
    """Convert the settings to the internal types."""
    store = StoreTerms(
        address=parse_address(file.platform.addr),
        writes_per_s=file.platform.writes_per_s,
        reads_per_s=file.platform.reads_per_s,
        shortest_lease_s=file.platform.ttl_min_ms * MILLISECOND_S,
    )
    bounds = Bounds(
        drain_s=file.bounds.drain_ms * MILLISECOND_S,
        stop_grace_s=file.bounds.grace_s,
        apply_s=file.bounds.apply_ms * MILLISECOND_S,
        calm_s=file.bounds.stable_ms * MILLISECOND_S,
        retry_ratio=file.bounds.retry_ratio,
        retry_window_s=file.bounds.retry_window_s,
        retry_slack=file.bounds.retry_slack,
        fenced_orders=file.bounds.need_fence,
        evacuation_s=file.bounds.evac_ms * MILLISECOND_S,
        cold_excess=file.bounds.cold_excess,
        cold_slack=file.bounds.cold_slack,
    )
    return HostSettings(
        host=file.node,
        ip=file.ip,
        failure_domain=file.zone,
        region=file.region,
        store=store,
        ports=ReservedPorts(*file.port_range),
        callers=_address(file.listen.front),
        readiness=_address(file.listen.ready),
        upstream=_address(file.app),
        link_bits_s=file.limits.link_mbps * MEGABIT,
        memory_bytes=int(file.limits.ram_mb * MEGABYTE),
        bounds=bounds,
        load_shedding=LOAD_SHEDDING_CONTRACT in file.contracts,
        max_descriptors=file.limits.max_fds,
    )


def _address(text: str | None) -> Address | None:
    """Parse an address; return ``None`` if the setting is absent or empty."""
    return parse_address(text) if text else None
