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

POLL_S = 0.02
ABSENT = 0
FIRST_RECORD = GroupRecord(active=1, next_version=2)

_log = get_logger("coordinator")


class RoleSource(Protocol):
    """Who holds the role, as far as this process knows."""

    @property
    def key(self) -> str:
        """Return the key that names the holder."""

    def current(self, now: float) -> RoleLease | None:
        """Return the lease if the role may be acted for now, or none."""


class MapDriver:
    """Perform what ``MapCoordinator`` decides: calls to the store and to agents.

    Every write also compares the role's key with the fencing number, so that the service itself
    refuses a holder that was replaced.
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
        self._core: MapCoordinator | None = None
        self._lease: RoleLease | None = None
        self._maps: dict[str, bytes] = {}
        self._writes = 0

    @property
    def record(self) -> GroupRecord | None:
        """Return the group's record as last seen, while the role is held."""
        return None if self._core is None else self._core.record

    @property
    def idle(self) -> bool:
        """Return whether the role is held and no change is wanted or in progress."""
        return self._core is not None and self._core.idle

    @property
    def writes(self) -> int:
        """Return how many writes to the store were made."""
        return self._writes

    async def content(self, digest: str) -> bytes:
        """Return a map's content, empty when it is not known."""
        return await self._map(digest)

    def request(self, digest: str, content: bytes) -> bool:
        """Ask for a change to a map; return false while the role is not held."""
        if self._core is None:
            return False
        self._maps.clear()
        self._maps[digest] = content
        self._core.request(digest)
        return True

    async def run(self) -> None:
        """Coordinate whenever the role is held, for ever."""
        while True:
            self._follow_role()
            if self._core is not None and self._lease is not None:
                await self._perform(self._core, self._lease)
            await curio.sleep(POLL_S)

    def _follow_role(self) -> None:
        """Begin with a new core for each new fencing number; stop without the role."""
        lease = self._role.current(self._clock.now())
        if lease is None:
            self._core = self._lease = None
            return
        if self._lease is None or self._lease.number != lease.number:
            self._core = MapCoordinator(lease.number, len(self._agents), self._settings)
            _log.info("coordinating", group=self._group, number=lease.number)
        self._lease = lease

    async def _perform(self, core: MapCoordinator, lease: RoleLease) -> None:
        """Perform what is to be done now."""
        for effect in core.decide(self._clock.now()):
            match effect:
                case ReadRecord():
                    await spawn_background(self._read, core)
                case WriteRecord():
                    await spawn_background(self._write, core, lease, effect)
                case SendOrder():
                    await spawn_background(self._send, core, lease, effect)

    async def _read(self, core: MapCoordinator) -> None:
        """Read the record; create the first one where there is none."""
        try:
            item = (await self._store.get(self._record_key)).get(self._record_key)
            if item is not None:
                core.on_record(decode_record(item.value), item.mod_revision)
                return
            put = Put(self._record_key, encode_record(FIRST_RECORD))
            await self._store.transact([Compare(self._record_key, ABSENT)], [put])
        except (PlatformError, GroupError) as error:
            _log.warning("record not read", group=self._group, error=str(error))
        core.on_read_failed()

    async def _write(self, core: MapCoordinator, lease: RoleLease, effect: WriteRecord) -> None:
        """Write the record if neither it nor the role has changed hands."""
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
            core.on_write(effect.record, None)
        except (PlatformError, LeaseLostError) as error:
            _log.warning("record not written", group=self._group, error=str(error))
            core.on_write(effect.record, False)
        else:
            core.on_write(effect.record, result.succeeded, result.revision)

    def _map_puts(self, effect: WriteRecord) -> list[Put]:
        """Return the write of a map's content, which goes with the beginning of its change."""
        change = effect.record.change
        if change is None or not effect.record.preparing or change.digest not in self._maps:
            return []
        return [Put(map_key(self._prefix, self._group, change.digest), self._maps[change.digest])]

    async def _send(self, core: MapCoordinator, lease: RoleLease, effect: SendOrder) -> None:
        """Send an order by its agent and report back."""
        try:
            order = await self._order(lease, effect)
            lease.check(self._clock.now())
            reply = await self._links.send_order(self._agents[effect.rank], order)
        except (AgentUnreachableError, PlatformError, LeaseLostError) as error:
            _log.info("order not answered", rank=effect.rank, error=str(error))
            return
        if reply.state is not None:
            core.on_state(effect.rank, reply.state)
        if reply.refusal:
            core.on_refused(effect.rank, reply.passing)
        if reply.failure and isinstance(effect.content, PrepareMap):
            core.on_failed(effect.rank)

    async def _order(self, lease: RoleLease, effect: SendOrder) -> Order:
        """Return an order with its action id, and the map's content where it is needed."""
        content = effect.content
        step = getattr(content, "step", 0)
        action = f"{self._group}-{type(content).__name__}-{content.version}-{step}"
        data = b""
        if isinstance(content, PrepareMap):
            data = await self._map(content.digest)
        return Order(action, lease.number, content, data)

    async def _map(self, digest: str) -> bytes:
        """Return a map's content, from the store when another coordinator began its change."""
        if digest not in self._maps:
            key = map_key(self._prefix, self._group, digest)
            item = (await self._store.get(key)).get(key)
            self._maps[digest] = b"" if item is None else item.value
        return self._maps[digest]
