"""Make a node from a process's settings."""

from random import Random

from bluebellrun.conf import ControlSettings
from bluebellrun.core import Address, Clock
from bluebellrun.distribution._node import Node
from bluebellrun.distribution._settings import NodeSettings
from bluebellrun.store import HostList, KeyValueStore, StoreRates
from bluebellrun.transport import LinkTiming


def link_timing(settings: ControlSettings) -> LinkTiming:
    """Return the timing of links that settings describe."""
    return LinkTiming(
        settings.link_connect_timeout_s,
        settings.link_ping_interval_s,
        settings.link_ping_timeout_s,
    )


def make_node(
    settings: ControlSettings, role: str, listen: Address, store: KeyValueStore, clock: Clock
) -> Node:
    """Return the node of a process that listens for links on an address."""
    hosts = None
    if settings.host_list is not None:
        hosts = HostList(settings.host_list, settings.store_timeout_s)
    node_settings = NodeSettings(
        name=settings.name,
        role=role,
        host=settings.host,
        region=settings.region,
        failure_domain=settings.failure_domain,
        prefix=settings.store_prefix,
        seeds=settings.peer_addresses,
        rates=StoreRates(
            settings.store_reads_per_s, settings.store_writes_per_s, settings.fleet_size
        ),
        link=link_timing(settings),
    )
    return Node(node_settings, str(settings.advertise or listen), store, hosts, clock, Random())
