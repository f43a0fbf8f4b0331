"""Learn from another entry what the store says, while the store does not answer this one.

A store may turn single hosts away and serve the others. Entries hear each other then, so the one
that heard the store last tells the others what it read: configuration and registrations.
"""

import curio
import msgspec

from bluebellrun.core import Address, parse_address
from bluebellrun.gateway._peers import EntryStatus, PeerTable
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
    TransportError,
)
from bluebellrun.store import KeyValue, Snapshot
from bluebellrun.telemetry import get_logger

SILENCE_S = 1.0
# A store that is watched speaks at the end of each wait; its answer may take a while.
ANSWER_TAKES_S = 0.6
INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.5
# What stands for never having heard the store, as a number that travels.
UNHEARD_S = 1e6
# Another entry has to have heard the store this much later to be believed.
FRESHER_S = 0.5
OK = 200

_log = get_logger("catch-up")


class _Key(msgspec.Struct, frozen=True, array_like=True):
    """A key of the store as one entry read it."""

    key: str
    value: bytes
    revision: int


class _Told(msgspec.Struct, frozen=True, array_like=True):
    """What one entry read, and the revision of the store up to which it did."""

    revision: int
    keys: list[_Key]


_decoder = msgspec.msgpack.Decoder(_Told)


class CatchUp:
    """Tell other entries what this one read, and ask them when the store is silent.

    A watch of the store waits for ``watch_wait_s`` seconds at a time.
    """

    def __init__(
        self, address: Address, view: StoreView, table: PeerTable, watch_wait_s: float
    ) -> None:
        self._watched_silence_s = watch_wait_s + ANSWER_TAKES_S
        self._view = view
        self._table = table
        self._server = HttpServer(address, self._tell, HttpLimits(max_connections=64))

    @property
    def address(self) -> Address:
        """Return where this entry tells others."""
        return self._server.address

    async def serve(self) -> None:
        """Tell others until cancelled."""
        await self._server.run()

    async def run(self) -> None:
        """Ask others whenever the store is silent, until cancelled."""
        while True:
            await curio.sleep(INTERVAL_S)
            peer = self._peer_to_ask()
            if peer is None:
                continue
            try:
                await self._ask(parse_address(peer.address))
            except (TransportError, msgspec.DecodeError, ValueError, curio.TaskTimeout) as error:
                _log.info("entry did not tell", entry=peer.entry, reason=str(error))

    def _peer_to_ask(self) -> EntryStatus | None:
        """Return the entry that knows more of the store, or none."""
        silence_s = self._view.silence_s()
        if silence_s < self._watched_silence_s and not self._view.is_cut_off(SILENCE_S):
            return None
        peer = self._table.best_informed()
        if peer is None or peer.silence_s > silence_s - FRESHER_S:
            return None
        return peer

    async def _ask(self, address: Address) -> None:
        """Take what another entry read."""
        client = HttpClient(address, ClientTimeouts(CALL_TIMEOUT_S, CALL_TIMEOUT_S, CALL_TIMEOUT_S))
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                status, data = await client.fetch("GET", "/store", [])
        finally:
            await client.close()
        if status != OK:
            raise ValueError(f"{address} answered {status}; it has nothing to tell")
        told = _decoder.decode(data)
        items = tuple(KeyValue(item.key, item.value, item.revision) for item in told.keys)
        self._view.apply_peer_snapshot(Snapshot(items, told.revision))

    async def _tell(self, exchange: HttpExchange) -> None:
        """Tell another entry what this one read."""
        keys = [_Key(item.key, item.value, item.mod_revision) for item in self._view.shared]
        body = msgspec.msgpack.encode(_Told(self._view.revision, keys))
        await exchange.answer(OK, [("content-type", "application/msgpack")], body)
