"""Run a shift plan: drain groups, change their engines and undrain them."""

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
    """A rank's upstream and the address of its agent."""

    upstream: str
    agent: Address


class GroupService(Protocol):
    """The routing and drain operations that a shift needs."""

    async def groups(self) -> Sequence[ServingGroup]:
        """Return the groups with their current serving capacity."""

    async def drain(self, group: str) -> None:
        """Stop sending a group new work and return once its running work has ended."""

    async def undrain(self, group: str) -> None:
        """Resume sending work to a group."""


class ShiftDriver:
    """Runs the steps of a shift; order ids are made of the shift's id and the step number."""

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
        """Run the steps after ``done``; return the total number of steps done.

        A step that the current capacity does not allow raises ``StepNotAllowedError`` before
        anything changes, and one whose order fails raises ``CoordinatorError``; the steps done so
        far stay and can be reversed.
        """
        for number in range(done, len(plan.steps)):
            step = plan.steps[number]
            check_step(await self._service.groups(), step, self._floors)
            await self._run_step(f"{shift}-{number}", step)
        return len(plan.steps)

    async def _run_step(self, name: str, step: ShiftStep) -> None:
        """Drain the groups of one step, then change and undrain them one by one."""
        for change in step.changes:
            await self._service.drain(change.group)
        for change in step.changes:
            await self._change(name, change)
            await self._service.undrain(change.group)

    async def _change(self, name: str, change: GroupShift) -> None:
        """Send the orders of one group's change to all its ranks."""
        for rank in self._ranks[change.group]:
            for kind, content in _orders(change):
                action = f"{name}-{kind}-{rank.upstream}"
                record = await self._actions.run(rank.upstream, rank.agent, action, content)
                if record.state is ActionState.FAILED:
                    raise CoordinatorError(f"{rank.upstream} failed {action}: {record.reason}")


def _orders(change: GroupShift) -> list[tuple[str, EngineOrder]]:
    """Return the orders that make a change, each with its kind for the action id."""
    orders: list[tuple[str, EngineOrder]] = []
    if change.before.serves != change.after.serves:
        serves = change.after.serves
        orders.append(("version", LoadVersion(serves.model, serves.version)))
    if change.before.role is not change.after.role:
        orders.append(("role", ChangeRole(change.after.role)))
    return orders
