"""Expert maps of the model groups behind a gateway: who manages them, and how they are changed.

Submodules are imported on first use, because the programs that use the ports load little code.
"""

from typing import TYPE_CHECKING

from bluebellrun.core import load_at_first_use

if TYPE_CHECKING:
    from bluebellrun.expert_maps._expert_maps import ExpertMaps
    from bluebellrun.expert_maps._group_roles import GatewayRanking, GroupRoles
    from bluebellrun.expert_maps._ports import (
        OrderReply,
        RankCallError,
        RankCalls,
        RankReplacedError,
    )
    from bluebellrun.expert_maps._recorded_groups import GroupsWriter, RecordedGroups
    from bluebellrun.expert_maps._role import (
        LEASE_S,
        PlacementRole,
        RoleOrder,
        take_over_pause_s,
    )
    from bluebellrun.expert_maps._slow_upstreams import SlowUpstreams

_LOADED_AT_FIRST_USE = {
    "LEASE_S": "_role",
    "ExpertMaps": "_expert_maps",
    "GatewayRanking": "_group_roles",
    "GroupRoles": "_group_roles",
    "GroupsWriter": "_recorded_groups",
    "OrderReply": "_ports",
    "PlacementRole": "_role",
    "RankCallError": "_ports",
    "RankCalls": "_ports",
    "RankReplacedError": "_ports",
    "RecordedGroups": "_recorded_groups",
    "RoleOrder": "_role",
    "SlowUpstreams": "_slow_upstreams",
    "take_over_pause_s": "_role",
}

__all__ = [
    "LEASE_S",
    "ExpertMaps",
    "GatewayRanking",
    "GroupRoles",
    "GroupsWriter",
    "OrderReply",
    "PlacementRole",
    "RankCallError",
    "RankCalls",
    "RankReplacedError",
    "RecordedGroups",
    "RoleOrder",
    "SlowUpstreams",
    "take_over_pause_s",
]

__getattr__ = load_at_first_use(__name__, _LOADED_AT_FIRST_USE)
