"""Drive the map changes of one group while its role is held."""

from collections.abc import Sequence
from typing import Protocol

import curio

from bluebellrun.coordinator._agents import AgentLinks
from bluebellrun.coordinator._exceptions import AgentUnreachableError
from bluebellrun.core import Address, Clock
from bluebellrun.groups import (
    GroupError,
    GroupRecord,
    MapChangeSettings,
    MapCoordinator,
    Order,
    PrepareMap,
    ReadRecord,
    SendOrder,
    WriteRecord,
    decode_record,
    encode_record,
    map_key,
    record_key,
)
from bluebellrun.leases import LeaseLostError, RoleLease
from bluebellrun.runtime import spawn_background
from bluebellrun.store import Compare, KeyValueStore, PlatformError, Put, StoreAnswerLostError
from bluebellrun.telemetry import get_logger

POLL_INTERVAL_S = 0.02
ABSENT_REVISION = 0
FIRST_RECORD = GroupRecord(active=1, next_version=2)

_log = get_logger("coordinator")


class RoleSource(Protocol):
    """This process's view of whether it holds the role."""

    @property
    def key(self) -> str:
        """Return the key of the holder's record."""

    def current(self, now: float) -> RoleLease | None:
        """Return the lease if it is valid at ``now``, otherwise ``None``."""


class MapDriver:
    """Performs the effects that ``MapCoordinator`` decides: calls to the store and to agents.

    Every write also compares the revision of the role's key with the fencing number, so that the
    store rejects writes of a replaced holder.
    """

    def __init__(
        self,
        group: str,
        prefix: str,
        agents: Sequence[Address],
        role: RoleSource,
        store: KeyValueStore,
        links: AgentLinks,
        clock: Clock,
        settings: MapChangeSettings,
    ) -> None:
        self._group = group
        self._prefix = prefix
        self._agents = list(agents)
        self._role = role
        self._store = store
        self._links = links
        self._clock = clock
        self._settings = settings
        self._record_key = record_key(prefix, group)
        self._coordinator: MapCoordinator | None = None
        self._lease: RoleLease | None = None
        self._maps: dict[str, bytes] = {}
        self._writes = 0

    @property
    def record(self) -> GroupRecord | None:
        """Return the group's last known record, or ``None`` while the role is not held."""
        return None if self._coordinator is None else self._coordinator.record

    @property
    def idle(self) -> bool:
        """Return whether the role is held and no change is requested or in progress."""
        return self._coordinator is not None and self._coordinator.idle

    @property
    def writes(self) -> int:
        """Return the number of writes sent to the store."""
        return self._writes

    async def content(self, digest: str) -> bytes:
        """Return a map's content, empty if it is unknown."""
        return await self._map(digest)

    def request(self, digest: str, content: bytes) -> bool:
        """Request a change to a map; return ``False`` while the role is not held."""
        if self._coordinator is None:
            return False
        self._maps.clear()
        self._maps[digest] = content
        self._coordinator.request(digest)
        return True

    async def run(self) -> None:
        """Coordinate whenever the role is held, until cancelled."""
        while True:
            self._follow_role()
            if self._coordinator is not None and self._lease is not None:
                await self._perform(self._coordinator, self._lease)
            await curio.sleep(POLL_INTERVAL_S)

    def _follow_role(self) -> None:
        """Create a ``MapCoordinator`` for each new fencing number; drop it without the role."""
        lease = self._role.current(self._clock.now())
        if lease is None:
            self._coordinator = self._lease = None
            return
        if self._lease is None or self._lease.number != lease.number:
            self._coordinator = MapCoordinator(lease.number, len(self._agents), self._settings)
            _log.info("group coordination started", group=self._group, number=lease.number)
        self._lease = lease

    async def _perform(self, coordinator: MapCoordinator, lease: RoleLease) -> None:
        """Start all effects that are due now."""
        for effect in coordinator.decide(self._clock.now()):
            match effect:
                case ReadRecord():
                    await spawn_background(self._read, coordinator)
                case WriteRecord():
                    await spawn_background(self._write, coordinator, lease, effect)
                case SendOrder():
                    await spawn_background(self._send, coordinator, lease, effect)

    async def _read(self, coordinator: MapCoordinator) -> None:
        """Read the record; create the first one if there is none."""
        try:
            item = (await self._store.get(self._record_key)).get(self._record_key)
            if item is not None:
                coordinator.on_record(decode_record(item.value), item.mod_revision)
                return
            put = Put(self._record_key, encode_record(FIRST_RECORD))
            await self._store.transact([Compare(self._record_key, ABSENT_REVISION)], [put])
        except (PlatformError, GroupError) as error:
            _log.warning("group record not read", group=self._group, error=str(error))
        coordinator.on_read_failed()

    async def _write(
        self, coordinator: MapCoordinator, lease: RoleLease, effect: WriteRecord
    ) -> None:
        """Write the record if neither it nor the role's holder has changed."""
        compares = [
            Compare(self._record_key, effect.expected_revision),
            Compare(self._role.key, lease.number),
        ]
        puts = [Put(self._record_key, encode_record(effect.record)), *self._map_puts(effect)]
        self._writes += 1
        try:
            lease.check(self._clock.now())
            result = await self._store.transact(compares, puts)
        except StoreAnswerLostError:
            coordinator.on_write(effect.record, None)
        except (PlatformError, LeaseLostError) as error:
            _log.warning("group record not written", group=self._group, error=str(error))
            coordinator.on_write(effect.record, False)
        else:
            coordinator.on_write(effect.record, result.succeeded, result.revision)

    def _map_puts(self, effect: WriteRecord) -> list[Put]:
        """Return the write of a map's content, made with the first record of its change."""
        change = effect.record.change
        if change is None or not effect.record.preparing or change.digest not in self._maps:
            return []
        return [Put(map_key(self._prefix, self._group, change.digest), self._maps[change.digest])]

    async def _send(self, coordinator: MapCoordinator, lease: RoleLease, effect: SendOrder) -> None:
        """Send an order to a rank's agent and apply the reply."""
        try:
            order = await self._order(lease, effect)
            lease.check(self._clock.now())
            reply = await self._links.send_order(self._agents[effect.rank], order)
        except (AgentUnreachableError, PlatformError, LeaseLostError) as error:
            _log.info("order not answered", rank=effect.rank, error=str(error))
            return
        if reply.state is not None:
            coordinator.on_state(effect.rank, reply.state)
        if reply.refusal:
            coordinator.on_refused(effect.rank, reply.passing)
        if reply.failure and isinstance(effect.content, PrepareMap):
            coordinator.on_failed(effect.rank)

    async def _order(self, lease: RoleLease, effect: SendOrder) -> Order:
        """Return an order with its action id, and the map's content if it is to be prepared."""
        content = effect.content
        step = getattr(content, "step", 0)
        action = f"{self._group}-{type(content).__name__}-{content.version}-{step}"
        data = b""
        if isinstance(content, PrepareMap):
            data = await self._map(content.digest)
        return Order(action, lease.number, content, data)

    async def _map(self, digest: str) -> bytes:
        """Return a map's content; fetch it if another coordinator started its change."""
        if digest not in self._maps:
            key = map_key(self._prefix, self._group, digest)
            item = (await self._store.get(key)).get(key)
            self._maps[digest] = b"" if item is None else item.value
        return self._maps[digest]
