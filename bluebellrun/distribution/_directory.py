"""The directory of contacts in the key-value service: a few processes per failure domain.

Each slot holds one contact. The first process of a domain claims the first slot; later the
watchers write their own slots by rank. A slot is a hint for new processes: it is never renewed,
so it survives an outage, and it is overwritten after its process has departed.
"""

import msgspec

from bluebellrun.membership import MemberRow
from bluebellrun.store import Compare, KeyValue, KeyValueStore, Put
from bluebellrun.telemetry import get_logger

NO_DOMAIN = "-"

_log = get_logger("distribution.directory")


class Contact(msgspec.Struct, frozen=True):
    """A process that new processes may query."""

    name: str
    failure_domain: str
    address: str
    epoch: int


_decoder = msgspec.json.Decoder(Contact)


def contact_of(row: MemberRow) -> Contact:
    """Return a member as a contact."""
    return Contact(row.name, row.failure_domain, row.address, row.epoch)


class Directory:
    """Read contacts and write this process's own."""

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        self._store = store
        self._prefix = f"{prefix}/directory/"
        self._slots: dict[str, KeyValue] = {}

    async def read(self) -> list[Contact]:
        """Return all contacts; raise ``PlatformError`` when the service is unavailable."""
        snapshot = await self._store.read_prefix(self._prefix)
        self._slots = {item.key: item for item in snapshot.items}
        found = (self._decode_contact(item) for item in snapshot.items)
        return [contact for contact in found if contact is not None]

    async def claim(self, row: MemberRow, slot: int) -> bool:
        """Write a slot of this process's domain as it was read last; return whether it is held.

        Raises ``PlatformError``; after a lost answer, reading again shows who holds the slot.
        """
        key = f"{self._prefix}{row.failure_domain or NO_DOMAIN}/{slot}"
        held = self._slots.get(key)
        value = msgspec.json.encode(contact_of(row))
        if held is not None and held.value == value:
            return True
        revision = held.mod_revision if held is not None else 0
        result = await self._store.transact([Compare(key, revision)], [Put(key, value)])
        return result.succeeded

    def _decode_contact(self, item: KeyValue) -> Contact | None:
        """Return the contact of one slot, or none when it cannot be read."""
        try:
            return _decoder.decode(item.value)
        except msgspec.DecodeError as error:
            _log.warning("invalid contact ignored", key=item.key, error=str(error))
            return None
