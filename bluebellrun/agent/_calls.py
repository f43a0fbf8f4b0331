"""The calls that entries and other agents make to an agent."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from bluebellrun.agent._agent import Agent
from bluebellrun.agent._claims import ClaimManager
from bluebellrun.messages import (
    CLAIM_PATH,
    EXCHANGE_PATH,
    FATE_PATH,
    SETTLE_PATH,
    SettleAnswer,
    decode_fate_query,
    decode_ledger_record,
    encode_message,
)
from bluebellrun.transport import Call, CallError

STATUS_INVALID_ARGUMENT = 3
STATUS_UNAVAILABLE = 14
UNARY_PATHS = frozenset({CLAIM_PATH, FATE_PATH, SETTLE_PATH})

CallHandler = Callable[[Call], Awaitable[None]]


class AgentCalls:
    """Dispatch calls by path; ``fallback`` handles the paths that are not the agent's."""

    def __init__(self, agent: Agent, claims: ClaimManager, fallback: CallHandler) -> None:
        self._agent = agent
        self._claims = claims
        self._fallback = fallback

    async def handle(self, call: Call) -> None:
        """Serve one call by its path."""
        if call.path == EXCHANGE_PATH:
            await self._agent.serve_session(call)
            return
        if call.path not in UNARY_PATHS:
            await self._fallback(call)
            return
        message = await call.receive()
        if message is None:
            raise CallError(STATUS_INVALID_ARGUMENT, f"{call.path} takes one message")
        try:
            await call.send(encode_message(await self._answer(call.path, message)))
        except msgspec.MsgspecError as error:
            raise CallError(STATUS_INVALID_ARGUMENT, str(error)) from error

    async def _answer(self, path: str, message: bytes) -> Any:
        """Return the answer to a unary call."""
        if path == FATE_PATH:
            return await self._agent.answer_fate(decode_fate_query(message))
        if path == CLAIM_PATH:
            return await self._claims.serve_claim(decode_ledger_record(message))
        if await self._claims.serve_settle(decode_ledger_record(message)):
            return SettleAnswer()
        raise CallError(STATUS_UNAVAILABLE, "the settlement is not durable yet")
