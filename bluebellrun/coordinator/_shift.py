"""Carry out a shift plan: take groups out, change their engines, bring them back."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from bluebellrun.coordinator._actions import ActionRunner
from bluebellrun.coordinator._exceptions import CoordinatorError
from bluebellrun.core import Address
from bluebellrun.groups import (
    ActionState,
    CapacityFloors,
    ChangeRole,
    EngineOrder,
    GroupShift,
    LoadVersion,
    ServingGroup,
    ShiftPlan,
    ShiftStep,
    check_step,
)


@dataclass(frozen=True, slots=True)
class RankAgent:
    """A rank's upstream and the address of the agent beside it."""

    upstream: str
    agent: Address


class GroupService(Protocol):
    """What a shift asks of routing and drain."""

    async def groups(self) -> Sequence[ServingGroup]:
        """Return the groups with the capacity that serves now."""

    async def drain(self, group: str) -> None:
        """Send a group no new work and return when what it runs has ended."""

    async def undrain(self, group: str) -> None:
        """Send a group work again."""


class ShiftDriver:
    """Go through the steps of a shift; each order has an id made of the shift's and its step."""

    def __init__(
        self,
        actions: ActionRunner,
        service: GroupService,
        ranks: Mapping[str, Sequence[RankAgent]],
        floors: CapacityFloors,
    ) -> None:
        self._actions = actions
        self._service = service
        self._ranks = ranks
        self._floors = floors

    async def run(self, shift: str, plan: ShiftPlan, done: int = 0) -> int:
        """Carry out the steps after ``done``; return how many are done in all.

        A step that the capacity of the moment does not allow raises ``StepNotAllowedError`` before
        anything changes, and one whose order fails raises ``CoordinatorError``; the steps done so
        far stay and can be reversed.
        """
        for number in range(done, len(plan.steps)):
            step = plan.steps[number]
            check_step(await self._service.groups(), step, self._floors)
            await self._carry_out(f"{shift}-{number}", step)
        return len(plan.steps)

    async def _carry_out(self, name: str, step: ShiftStep) -> None:
        """Make the changes of one step, group by group."""
        for change in step.changes:
            await self._service.drain(change.group)
        for change in step.changes:
            await self._change(name, change)
            await self._service.undrain(change.group)

    async def _change(self, name: str, change: GroupShift) -> None:
        """Give the orders of one group's change to all its ranks."""
        for rank in self._ranks[change.group]:
            for kind, content in _orders(change):
                action = f"{name}-{kind}-{rank.upstream}"
                record = await self._actions.run(rank.upstream, rank.agent, action, content)
                if record.state is ActionState.FAILED:
                    raise CoordinatorError(f"{rank.upstream} failed {action}: {record.reason}")


def _orders(change: GroupShift) -> list[tuple[str, EngineOrder]]:
    """Return the orders that make a change, with a word for each."""
    orders: list[tuple[str, EngineOrder]] = []
    if change.before.serves != change.after.serves:
        serves = change.after.serves
        orders.append(("version", LoadVersion(serves.model, serves.version)))
    if change.before.role is not change.after.role:
        orders.append(("role", ChangeRole(change.after.role)))
    return orders
