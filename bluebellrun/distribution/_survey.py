"""Surveys the fleet for operators: versions in force and processes that do not answer.

Processes report to their primary parent, so the watchers of a failure domain know the versions
of the whole domain; the survey queries only these.
"""

import contextlib
from collections.abc import Sequence
from dataclasses import dataclass

import curio
import msgspec

from bluebellrun.core import Address, parse_address
from bluebellrun.distribution._directory import Directory
from bluebellrun.http import TransportError
from bluebellrun.membership import MemberState, RelayTree
from bluebellrun.messages import (
    STATUS_PATH,
    NodeStatus,
    StatusRequest,
    decode_status,
    encode_message,
)
from bluebellrun.store import KeyValueStore, PlatformError
from bluebellrun.transport import LinkTiming, dial

STATUS_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class DomainSurvey:
    """One failure domain as its watchers report it.

    ``versions`` counts processes by version in force; ``behind`` names processes below the
    newest; ``silent`` counts live members that are in no report yet.
    """

    failure_domain: str
    members: dict[str, int]
    versions: dict[int, int]
    behind: dict[str, int]
    silent: int
    unhealthy: dict[str, str]


@dataclass(frozen=True, slots=True)
class FleetSurvey:
    """The whole fleet: domains, watchers' statuses and contacts that did not answer."""

    domains: tuple[DomainSurvey, ...]
    watchers: tuple[NodeStatus, ...]
    unreachable: tuple[str, ...]

    @property
    def newest(self) -> int:
        """Return the newest version that any process has in force."""
        return max((v for domain in self.domains for v in domain.versions), default=0)

    @property
    def processes(self) -> int:
        """Return how many processes reported."""
        return sum(sum(domain.versions.values()) for domain in self.domains)

    @property
    def up_to_date(self) -> int:
        """Return how many processes have the newest version in force."""
        return sum(domain.versions.get(self.newest, 0) for domain in self.domains)


async def fetch_status(
    address: Address, timing: LinkTiming, members: bool = False, timeout_s: float = STATUS_TIMEOUT_S
) -> NodeStatus:
    """Return a process's status; raise ``TransportError`` when it does not answer."""
    link = await dial(address, timing)
    try:
        request = encode_message(StatusRequest(members))
        return decode_status(await link.call_unary(STATUS_PATH, request, timeout_s))
    finally:
        await link.close()


async def survey_fleet(
    store: KeyValueStore, prefix: str, seeds: Sequence[Address], timing: LinkTiming
) -> FleetSurvey:
    """Query the watchers of each failure domain, found through the directory or peers.

    With the key-value service down, ``seeds`` and the members they know are queried instead.
    """
    addresses = [str(seed) for seed in seeds]
    with contextlib.suppress(PlatformError):
        addresses += [contact.address for contact in await Directory(store, prefix).read()]
    statuses, unreachable = await _fetch_statuses(addresses, timing)
    watcher_addresses = {
        row.address
        for status in statuses.values()
        for row in status.rows
        if row.name in _watchers(status)
    }
    watcher_statuses, unreachable_watchers = await _fetch_statuses(
        [a for a in watcher_addresses if a not in addresses], timing
    )
    statuses |= watcher_statuses
    watchers = [status for status in statuses.values() if status.watcher]
    domains = sorted({status.row.failure_domain for status in watchers})
    surveys = tuple(
        _summarise(name, [s for s in watchers if s.row.failure_domain == name]) for name in domains
    )
    return FleetSurvey(
        surveys, tuple(watchers), tuple(sorted({*unreachable, *unreachable_watchers}))
    )


async def _fetch_statuses(
    addresses: Sequence[str], timing: LinkTiming
) -> tuple[dict[str, NodeStatus], list[str]]:
    """Return the statuses by process name, and the addresses that did not answer."""
    tasks = {
        address: await curio.spawn(_fetch_status_or_none, parse_address(address), timing)
        for address in dict.fromkeys(addresses)
    }
    statuses: dict[str, NodeStatus] = {}
    unreachable = []
    for address, task in tasks.items():
        status = await task.join()
        if status is None:
            unreachable.append(address)
        else:
            statuses[status.row.name] = status
    return statuses, unreachable


async def _fetch_status_or_none(address: Address, timing: LinkTiming) -> NodeStatus | None:
    """Return a process's status with its members, or none when it does not answer."""
    try:
        return await fetch_status(address, timing, members=True)
    except (TransportError, msgspec.DecodeError):
        return None


def _watchers(status: NodeStatus) -> set[str]:
    """Return the names of the watchers in the domain of a process, as it sees them."""
    names = [row.name for row in status.rows if row.state is MemberState.LIVE]
    return set(RelayTree(names).watchers)


def _summarise(failure_domain: str, watchers: Sequence[NodeStatus]) -> DomainSurvey:
    """Add up the reports of a domain's watchers."""
    versions: dict[int, int] = {}
    behind: dict[str, int] = {}
    for status in watchers:
        for item in status.report.counts:
            versions[item.version] = versions.get(item.version, 0) + item.count
        behind |= {item.name: item.version for item in status.report.behind}
    newest = max(versions, default=0)
    best = max(watchers, key=lambda status: status.members.get(MemberState.LIVE, 0))
    live = best.members.get(MemberState.LIVE, 0) + best.members.get(MemberState.LEAVING, 0)
    return DomainSurvey(
        failure_domain=failure_domain,
        members=dict(best.members),
        versions=versions,
        behind={name: version for name, version in behind.items() if version < newest},
        silent=max(0, live - sum(versions.values())),
        unhealthy={
            row.name: str(row.state) for row in best.rows if row.state is not MemberState.LIVE
        },
    )
