"""Coordinator of a group: the holder of its role drives map changes and orders."""

from bluebellrun.coordinator._actions import ActionRunner
from bluebellrun.coordinator._agents import AgentLinks
from bluebellrun.coordinator._exceptions import CoordinatorError, RoleLostError
from bluebellrun.coordinator._maps import MapDriver, RoleSource
from bluebellrun.coordinator._service import GroupCoordinator
from bluebellrun.coordinator._shift import GroupService, RankAgent, ShiftDriver

__all__ = [
    "ActionRunner",
    "AgentLinks",
    "CoordinatorError",
    "GroupCoordinator",
    "GroupService",
    "MapDriver",
    "RankAgent",
    "RoleLostError",
    "RoleSource",
    "ShiftDriver",
]
