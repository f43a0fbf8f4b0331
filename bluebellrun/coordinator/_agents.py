"""Links from a coordinator to the agents of its ranks."""

import msgspec

from bluebellrun.coordinator._exceptions import AgentUnreachableError
from bluebellrun.core import Address
from bluebellrun.groups import ExpertCounts, Order
from bluebellrun.http import TransportError
from bluebellrun.messages import (
    ORDER_PATH,
    OrderReply,
    OrderRequest,
    decode_order_reply,
    encode_order_message,
)
from bluebellrun.transport import Link, LinkTiming, dial


class AgentLinks:
    """Sends orders to agents over one link to each, opened on demand."""

    def __init__(self, timing: LinkTiming, timeout_s: float) -> None:
        self._timing = timing
        self._timeout_s = timeout_s
        self._links: dict[Address, Link] = {}

    async def send_order(self, agent: Address, order: Order | None) -> OrderReply:
        """Send an order, or with ``None`` only query the state, and return the agent's reply.

        Raises ``AgentUnreachableError`` if there is no reply.
        """
        return await self._call(agent, OrderRequest(order))

    async def read_experts(self, agent: Address) -> ExpertCounts | None:
        """Return a rank's expert counts, or ``None`` if they are not available now."""
        try:
            return (await self._call(agent, OrderRequest(experts=True))).experts
        except AgentUnreachableError:
            return None

    async def _call(self, agent: Address, request: OrderRequest) -> OrderReply:
        """Make one order call; raise ``AgentUnreachableError`` if it fails."""
        try:
            link = await self._link(agent)
            data = await link.call_unary(ORDER_PATH, encode_order_message(request), self._timeout_s)
            return decode_order_reply(data)
        except (TransportError, msgspec.MsgspecError) as error:
            raise AgentUnreachableError(f"agent {agent}: {error}") from error

    async def close(self) -> None:
        """Close the links."""
        while self._links:
            await self._links.popitem()[1].close()

    async def _link(self, agent: Address) -> Link:
        """Return the pooled link to an agent; open one if there is none."""
        link = self._links.get(agent)
        if link is None or link.closed:
            link = await dial(agent, self._timing)
            self._links[agent] = link
        return link
