"""Orders to the agent's engine: admission by the gate, and reconciliation with the group record."""

import curio
import msgspec

from bluebellrun.core import Clock, new_request_id
from bluebellrun.engines import (
    EngineStateError,
    OrderClient,
    OrderInDoubtError,
    OrderNotSentError,
    OrderRejectedError,
)
from bluebellrun.groups import (
    AbortChange,
    AdoptMap,
    EngineState,
    GroupError,
    GroupRecord,
    Order,
    OrderGate,
    SendEngineOrder,
    action_key,
    decode_action,
    decode_record,
    encode_record,
    has_effect,
    map_key,
    record_key,
)
from bluebellrun.messages import (
    OrderReply,
    OrderRequest,
    decode_order_request,
    encode_order_message,
)
from bluebellrun.store import Compare, KeyValueStore, PlatformError, Put
from bluebellrun.telemetry import get_logger
from bluebellrun.transport import Call, CallError

RECONCILE_INTERVAL_S = 0.25
HOLD_TIMEOUT_S = 5.0
IN_DOUBT_WAIT_S = 1.0
STATUS_INVALID = 3

_log = get_logger("orders")


class EngineOrders:
    """Send orders to one engine, one at a time.

    ``group`` is the group that the engine is a rank of, empty for none.
    """

    def __init__(
        self,
        upstream: str,
        group: str,
        prefix: str,
        client: OrderClient,
        store: KeyValueStore,
        clock: Clock,
    ) -> None:
        self._action_key = action_key(prefix, upstream)
        self._record_key = record_key(prefix, group) if group else ""
        self._prefix = prefix
        self._group = group
        self._client = client
        self._store = store
        self._clock = clock
        self._gate = OrderGate()
        self._held_since: float | None = None

    async def serve(self, call: Call) -> None:
        """Answer one order call."""
        data = await call.receive()
        try:
            request = decode_order_request(data or b"")
        except msgspec.MsgspecError as error:
            raise CallError(STATUS_INVALID, f"the order is malformed: {error}") from error
        await call.send(encode_order_message(await self.answer(request)))

    async def answer(self, request: OrderRequest) -> OrderReply:
        """Send an order if the gate admits it; return the engine's state afterwards."""
        try:
            if request.experts:
                return OrderReply(experts=await self._client.read_experts())
            await self._initialize()
            if request.order is None:
                return OrderReply(await self._client.read_state(), fencing=self._gate.fencing)
            return await self._execute(request.order)
        except (EngineStateError, PlatformError, GroupError) as error:
            return OrderReply(refusal=str(error), fencing=self._gate.fencing, passing=True)

    async def run(self) -> None:
        """Reconcile a rank that joined, or that holds a step for too long; run until cancelled."""
        last_error = ""
        while self._record_key:
            try:
                await self._initialize()
                await self._reconcile()
                last_error = ""
            except (EngineStateError, PlatformError, GroupError) as error:
                if str(error) != last_error:
                    _log.info("engine not reconciled", error=str(error))
                last_error = str(error)
            await curio.sleep(RECONCILE_INTERVAL_S)

    async def _initialize(self) -> None:
        """Load the highest recorded fencing number before the first order.

        Orders that an earlier incarnation of this agent sent may still arrive, so wait for them.
        """
        if self._gate.started:
            return
        item = (await self._store.get(self._action_key)).get(self._action_key)
        fencing = 0 if item is None else decode_action(item.value).order.fencing
        record, _ = await self._read_record()
        await curio.sleep(IN_DOUBT_WAIT_S)
        if record is not None:
            self._gate.observe_record(record)
        self._gate.start(fencing)

    async def _execute(self, order: Order) -> OrderReply:
        """Send one order; read the engine's state before and after it."""
        refusal = self._gate.begin(order)
        if refusal is not None:
            return OrderReply(None, refusal.reason, refusal.fencing, refusal.transient)
        try:
            before = await self._client.read_state()
            failure = ""
            if has_effect(order, before):
                refusal = self._gate.recheck(order)
                if refusal is not None:
                    return OrderReply(before, refusal.reason, refusal.fencing, refusal.transient)
                failure = await self._send(order)
            return OrderReply(
                await self._client.read_state(), fencing=self._gate.fencing, failure=failure
            )
        finally:
            self._gate.end()

    async def _send(self, order: Order) -> str:
        """Send an order; return why the engine rejected it, or an empty string."""
        try:
            await self._client.send(order)
        except OrderRejectedError as error:
            _log.warning("order rejected", action=order.action, error=str(error))
            return str(error)
        except OrderNotSentError as error:
            _log.info("order not sent", action=order.action, error=str(error))
        except OrderInDoubtError as error:
            _log.warning("order in doubt", action=order.action, error=str(error))
            await self._client.close()
            await curio.sleep(IN_DOUBT_WAIT_S)
        return ""

    async def _reconcile(self) -> None:
        """Compare the engine's state with the group record and act on the difference."""
        state = await self._client.read_state()
        if state.learned and state.hold is None:
            self._held_since = None
            return
        record, revision = await self._read_record()
        if record is None:
            return
        match self._gate.settle(state, record, self._hold_timed_out(state)):
            case AbortChange(aborted):
                _log.warning("map change aborted", version=record.latest)
                compare = Compare(self._record_key, revision)
                put = Put(self._record_key, encode_record(aborted))
                await self._store.transact([compare], [put])
            case SendEngineOrder(content):
                action = f"settle-{new_request_id()}"
                data = await self._read_maps(record) if isinstance(content, AdoptMap) else b""
                await self._execute(Order(action, self._gate.fencing, content, data))

    async def _read_maps(self, record: GroupRecord) -> bytes:
        """Return the contents of the current map and of the map of a pending change."""
        digests = [record.digest, record.change.digest if record.change is not None else ""]
        data = b""
        for digest in filter(None, digests):
            key = map_key(self._prefix, self._group, digest)
            item = (await self._store.get(key)).get(key)
            if item is None:
                raise GroupError(f"the store has no map {digest} of group {self._group!r}")
            data += item.value
        return data

    def _hold_timed_out(self, state: EngineState) -> bool:
        """Return whether the current hold has exceeded ``HOLD_TIMEOUT_S``."""
        now = self._clock.now()
        if state.hold is None:
            self._held_since = None
            return False
        if self._held_since is None:
            self._held_since = now
        return now - self._held_since > HOLD_TIMEOUT_S

    async def _read_record(self) -> tuple[GroupRecord | None, int]:
        """Return the group's record and its revision, or none and 0."""
        if not self._record_key:
            return None, 0
        item = (await self._store.get(self._record_key)).get(self._record_key)
        return (None, 0) if item is None else (decode_record(item.value), item.mod_revision)
