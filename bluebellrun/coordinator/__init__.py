"""The coordinator of a group: whoever holds its role drives map changes and orders."""

from bluebellrun.coordinator._actions import ActionRunner
from bluebellrun.coordinator._agents import AgentLinks
from bluebellrun.coordinator._exceptions import CoordinatorError, DeposedError
from bluebellrun.coordinator._maps import MapDriver, RoleSource

__all__ = [
    "ActionRunner",
    "AgentLinks",
    "CoordinatorError",
    "DeposedError",
    "MapDriver",
    "RoleSource",
]
