"""The groups of services as recorded in the store, which every gateway follows."""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from bluebellrun.core import DecodingError, decode
from bluebellrun.expert_maps._ports import StoreRecords
from bluebellrun.routing import GroupMembers, GroupTable
from bluebellrun.store import Compare, KeyValueStore, PlatformError, Put, StorePosition
from bluebellrun.telemetry import get_logger

# Each write costs all gateways a reading; epochs change in bursts while groups form.
WRITE_INTERVAL_S = 1.0
# A record that vanished is kept for so long: after a restore of the store from an older copy it is
# written again.
LOST_RECORD_GRACE_S = 5.0
# A record of a single group is deleted after this: groups that lost all their hosts come back
# within minutes, and without a record the roles of the groups change.
SINGLE_GROUP_S = 600.0

_log = get_logger("expert-maps")


class _Group(msgspec.Struct, frozen=True):
    """A group as stored."""

    epoch: int
    size: int
    ranks: list[str]


class _Record(msgspec.Struct, frozen=True):
    """The groups of a service as stored, by name."""

    groups: dict[str, _Group]


_decoder = msgspec.json.Decoder(_Record)


def encode_groups(groups: Collection[GroupMembers]) -> bytes:
    """Return the stored form of groups; equal groups have equal forms."""
    ordered = sorted(groups, key=lambda item: item.name)
    return msgspec.json.encode(
        _Record({item.name: _Group(item.epoch, item.size, sorted(item.ranks)) for item in ordered})
    )


def decode_groups(value: bytes) -> list[GroupMembers]:
    """Read the stored form of groups; raise ``DecodingError``."""
    record = decode(_decoder, value)
    return [
        GroupMembers(name, item.epoch, item.size, frozenset(item.ranks))
        for name, item in record.groups.items()
    ]


class RecordedGroups:
    """The recorded groups of each service; fills the table that routing reads. Times in seconds."""

    def __init__(self, records: StoreRecords, prefix: str, table: GroupTable) -> None:
        self._records = records
        self._prefix = prefix
        self._table = table
        self._positions: dict[str, StorePosition] = {}
        self._groups: dict[str, Mapping[str, GroupMembers]] = {}
        self._lost_at: dict[str, float] = {}
        self._changes = 0

    @property
    def changes(self) -> int:
        """Return a number that grows with each change of any service's groups."""
        return self._changes

    def key(self, service: str) -> str:
        """Return the key of a service's record."""
        return f"{self._prefix}{service}"

    def groups(self, service: str) -> Mapping[str, GroupMembers]:
        """Return the recorded groups of a service by name; empty without a record."""
        return self._groups.get(service, {})

    def group_of(self, service: str, instance: str) -> str | None:
        """Return the recorded group of an instance, none if it is not known."""
        name = self._table.group_of(instance)
        if name is not None:
            return name
        groups = self.groups(service).values()
        return next((item.name for item in groups if instance in item.ranks), None)

    def follow(self, services: Collection[str], now: float) -> None:
        """Apply what the store has; a record that cannot be read leaves the groups as known."""
        for service in services:
            record = self._records.record(self.key(service))
            if record is None or record.value is None:
                self._expire(service, now)
                continue
            self._lost_at.pop(service, None)
            if self._positions.get(service) == record.position:
                continue
            self._positions[service] = record.position
            try:
                self._apply(service, decode_groups(record.value))
            except DecodingError as error:
                _log.warning("record of groups ignored", service=service, reason=str(error))
        for service in [name for name in self._groups if name not in services]:
            self._remove(service)

    def _apply(self, service: str, groups: Sequence[GroupMembers]) -> None:
        """Put the groups of a service in force."""
        _log.info(
            "groups of service",
            service=service,
            groups={item.name: len(item.ranks) for item in groups},
            epochs={item.name: item.epoch for item in groups},
        )
        self._changes += 1
        self._groups[service] = {item.name: item for item in groups}
        self._table.replace(service, groups)

    def _expire(self, service: str, now: float) -> None:
        """Remove the groups of a service whose record has been missing for a while."""
        if service in self._groups:
            lost_at = self._lost_at.setdefault(service, now)
            if now - lost_at >= LOST_RECORD_GRACE_S:
                self._remove(service)

    def _remove(self, service: str) -> None:
        """Drop the groups of a service."""
        _log.info("groups of service no longer recorded", service=service)
        self._changes += 1
        del self._groups[service]
        self._positions.pop(service, None)
        self._lost_at.pop(service, None)
        self._table.remove(service)


class GroupsWriter:
    """Writes the record of a service as the surveyor; times in seconds."""

    def __init__(self, store: KeyValueStore, records: StoreRecords) -> None:
        self._store = store
        self._records = records
        self._written_at: dict[str, float] = {}
        self._single_since: dict[str, float] = {}

    async def write(self, key: str, groups: Collection[GroupMembers], now: float) -> None:
        """Record the groups of a service if that is needed.

        A service with one group that has no record gets none. Another surveyor's newer record is
        not overwritten before it was read.
        """
        record = self._records.record(key)
        stored = None if record is None else record.value
        value = self._wanted(key, groups, stored, now)
        if value == stored or now - self._written_at.get(key, -WRITE_INTERVAL_S) < WRITE_INTERVAL_S:
            return
        if self._records.confirmed_at is None:
            return
        self._written_at[key] = now
        if record is not None and record.position.era != self._store.era:
            return
        expected = 0 if record is None else record.position.revision
        try:
            result = await self._store.transact([Compare(key, expected)], [Put(key, value)])
        except PlatformError as error:
            _log.info("groups of service not recorded", key=key, reason=str(error))
            return
        _log.info("groups of service recorded", key=key, written=result.succeeded)

    def _wanted(
        self, key: str, groups: Collection[GroupMembers], stored: bytes | None, now: float
    ) -> bytes | None:
        """Return the value that the record should have, none for no record."""
        if len(groups) > 1:
            self._single_since.pop(key, None)
            return encode_groups(groups)
        if stored is None or not groups:
            return stored
        single_since = self._single_since.setdefault(key, now)
        return None if now - single_since >= SINGLE_GROUP_S else encode_groups(groups)
