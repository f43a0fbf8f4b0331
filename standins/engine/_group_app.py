"""The order API of the ranks of one group, each on its own port, and faults to order."""

import json
import time
from typing import Any

import curio
import msgspec

from bluebellrun.groups import Order
from bluebellrun.http import HttpExchange
from standins._serving import not_found
from standins.engine._experts import ExpertTraffic
from standins.engine._group import LockStepGroup, MixedMapsError, OrderRejectedError

CONFLICT = 409
UNAVAILABLE = 503
FOREVER_S = 3_600.0


class GroupApp:
    """Serve the orders of a group whose ranks step together."""

    def __init__(self, group: LockStepGroup, experts: ExpertTraffic, step_s: float) -> None:
        self.group = group
        self._step_s = step_s
        self._mixed = ""
        self._lose_next = [0] * len(group.ranks)
        self._delay_s = 0.0
        self._experts = experts

    async def run(self) -> None:
        """Make steps for as long as no step would mix maps."""
        while not self._mixed:
            await curio.sleep(self._step_s)
            try:
                self.group.try_step()
            except MixedMapsError as error:
                self._mixed = str(error)

    async def handle(self, number: int, exchange: HttpExchange) -> None:
        """Answer one request to a rank."""
        match exchange.request.path:
            case "/orders/state" if self.group.ranks[number].alive:
                state = msgspec.json.encode(self.group.state(number))
                await exchange.answer(200, [("content-type", "application/json")], state)
            case "/orders" if self.group.ranks[number].alive:
                await self._order(number, exchange)
            case "/orders/state" | "/orders":
                await exchange.answer_json(UNAVAILABLE, {"error": "the engine is dead"})
            case "/experts" if self.group.ranks[number].alive:
                data = msgspec.json.encode(self._experts.counts(number, time.monotonic()))
                await exchange.answer(200, [("content-type", "application/json")], data)
            case "/standin/faults":
                self._order_fault(number, json.loads(exchange.request.body))
                await exchange.answer_json(200, {})
            case "/standin/group":
                await exchange.answer_json(200, self._report())
            case _:
                await not_found(exchange)

    async def _order(self, number: int, exchange: HttpExchange) -> None:
        """Carry out an order; a lost answer leaves it carried out."""
        try:
            order = msgspec.json.decode(exchange.request.body, type=Order)
        except msgspec.MsgspecError as error:
            await exchange.answer_json(400, {"error": str(error)})
            return
        await curio.sleep(self._delay_s)
        try:
            self.group.apply(number, order)
        except OrderRejectedError as error:
            await exchange.answer_json(CONFLICT, {"error": str(error)})
            return
        if self._lose_next[number] > 0:
            self._lose_next[number] -= 1
            exchange.abort()
            return
        await exchange.answer_json(200, {})

    def _order_fault(self, number: int, body: dict[str, Any]) -> None:
        """Kill or replace a rank, lose answers to orders, or delay orders."""
        if body.get("kill"):
            self.group.kill(number)
        if body.get("replace"):
            self.group.replace(number)
        self._lose_next[number] += int(body.get("lose_next", 0))
        self._delay_s = float(body.get("delay_s", self._delay_s))
        if "hot_expert" in body:
            self._experts.heat(int(body["hot_expert"]), float(body.get("times", 10.0)))
        if "slowness" in body:
            self._experts.slow(number, float(body["slowness"]))

    def _report(self) -> dict[str, object]:
        """Return what the group did, for tests."""
        return {
            "step": self.group.step,
            "epoch": self.group.epoch,
            "mixed": self._mixed,
            "skew": self._experts.skew(),
            "versions": sorted(set(self.group.history)),
            "runs": [rank.runs for rank in self.group.ranks],
        }
