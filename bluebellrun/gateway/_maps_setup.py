"""Join the managers of expert maps with the parts of the gateway's process."""

from collections.abc import Callable
from random import Random

from bluebellrun.core import BootClock
from bluebellrun.deployment import Deployment, HostSettings
from bluebellrun.expert_maps import (
    LEASE_S,
    ExpertMaps,
    GroupsWriter,
    PlacementRole,
    RankCalls,
    RecordedGroups,
    SlowUpstreams,
    take_over_pause_s,
)
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.leases import RoleHolder
from bluebellrun.routing import GroupTable
from bluebellrun.store import KeyValueStore

# The role of the process that surveys the groups, and manages the map of a service's only one.
PLACEMENT_ROLE = "placement"
# Below the project's own prefix: the groups of each service that has several.
GROUPS_PREFIX = "groups/"


class MapsSetup:
    """What the managers of expert maps share with the rest of the process."""

    def __init__(
        self,
        settings: HostSettings,
        own_prefix: str,
        store: KeyValueStore,
        view: StoreView,
        is_silent: Callable[[str], bool],
        random: Random,
    ) -> None:
        self._settings = settings
        self._own_prefix = own_prefix
        self._store = store
        self._view = view
        self._is_silent = is_silent
        self._random = random

    def placement_role(self) -> PlacementRole:
        """Return the placement role."""
        clock = BootClock()
        settings = self._settings
        holder = RoleHolder(
            self._store,
            self._own_prefix.rstrip("/"),
            PLACEMENT_ROLE,
            settings.host,
            LEASE_S,
            clock,
            self._random,
        )
        return PlacementRole(
            holder,
            self._view,
            clock,
            settings.bounds.fenced_orders,
            take_over_pause_s(settings.link_bits_s),
            self._is_silent,
        )

    def expert_maps(
        self,
        role: PlacementRole,
        calls: RankCalls,
        directory: UpstreamDirectory,
        deployment: Callable[[], Deployment | None],
        slow: SlowUpstreams,
        load: Callable[[str], float],
        groups: GroupTable,
    ) -> ExpertMaps:
        """Return the managers; they fill the table of groups."""
        recorded = RecordedGroups(self._view, f"{self._own_prefix}{GROUPS_PREFIX}", groups)
        writer = GroupsWriter(self._store, self._view)
        return ExpertMaps(role, calls, directory, deployment, slow, load, recorded, writer)
