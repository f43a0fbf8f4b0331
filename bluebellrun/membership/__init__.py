"""Members and their states, relay trees, upstream subsets and leaving hosts."""

from bluebellrun.membership._hosts import Departures, HostTable
from bluebellrun.membership._rendezvous import rank_by_weight, weight
from bluebellrun.membership._rows import MemberRow, MemberState
from bluebellrun.membership._subsets import choose_subset
from bluebellrun.membership._table import MemberTable, SuspicionTiming
from bluebellrun.membership._tree import RelayTree

__all__ = [
    "Departures",
    "HostTable",
    "MemberRow",
    "MemberState",
    "MemberTable",
    "RelayTree",
    "SuspicionTiming",
    "choose_subset",
    "rank_by_weight",
    "weight",
]
