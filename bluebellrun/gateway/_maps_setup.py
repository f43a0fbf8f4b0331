"""Join the managers of expert maps with the parts of the gateway's process."""

from collections.abc import Callable, Collection
from random import Random

from bluebellrun.core import BootClock
from bluebellrun.deployment import Deployment, HostSettings
from bluebellrun.expert_maps import (
    LEASE_S,
    ExpertMaps,
    GatewayRanking,
    GroupRoles,
    GroupsWriter,
    PlacementRole,
    RankCalls,
    RecordedGroups,
    RoleOrder,
    SlowUpstreams,
    take_over_pause_s,
)
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.leases import RoleHolder
from bluebellrun.routing import GroupTable
from bluebellrun.store import KeyValueStore
from bluebellrun.telemetry import ServingMetrics

# The role of the process that surveys the groups, and manages the map of a service's only one.
PLACEMENT_ROLE = "placement"
# Below the project's own prefix: the groups of each service that has several.
GROUPS_PREFIX = "groups/"
# The role of each of these groups, by service and group.
ROLES_PREFIX = "placement/"
# The register of gateways, by host.
ENTRIES_PREFIX = "entries/"


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
        return self._role(None, None)

    def _role(self, key: str | None, order: RoleOrder | None) -> PlacementRole:
        """Return a role; without a key, the placement role."""
        clock = BootClock()
        settings = self._settings
        holder = RoleHolder(
            self._store,
            self._own_prefix.rstrip("/"),
            key or PLACEMENT_ROLE,
            settings.host,
            LEASE_S,
            clock,
            self._random,
            key,
        )
        return PlacementRole(
            holder,
            self._view,
            clock,
            settings.bounds.fenced_orders,
            take_over_pause_s(settings.link_bits_s),
            self._is_silent,
            order,
        )

    def _registered(self) -> list[str]:
        """Return the names of the registered gateways."""
        prefix = f"{self._own_prefix}{ENTRIES_PREFIX}"
        return [item.key.removeprefix(prefix) for item in self._view.records_below(prefix)]

    def expert_maps(
        self,
        role: PlacementRole,
        calls: RankCalls,
        directory: UpstreamDirectory,
        deployment: Callable[[], Deployment | None],
        slow: SlowUpstreams,
        load: Callable[[str, Collection[str]], float],
        groups: GroupTable,
    ) -> ExpertMaps:
        """Return the managers; they fill the table of groups."""
        recorded = RecordedGroups(self._view, f"{self._own_prefix}{GROUPS_PREFIX}", groups)
        writer = GroupsWriter(self._store, self._view)
        ranking = GatewayRanking(self._settings.host, self._registered, self._is_silent)
        roles = GroupRoles(f"{self._own_prefix}{ROLES_PREFIX}", ranking, self._role)
        return ExpertMaps(role, roles, calls, directory, deployment, slow, load, recorded, writer)


def register_map_gauges(metrics: ServingMetrics, maps: ExpertMaps) -> None:
    """Register the gauges of the managers."""
    metrics.gauge(
        "bluebellrun_managed_groups",
        "Groups whose expert maps this process manages",
        lambda: maps.managed,
    )
    metrics.gauge(
        "bluebellrun_incomplete_groups",
        "Groups that this process manages and that are not formed or lack ranks",
        lambda: maps.incomplete,
    )
