"""The model groups of each service and their members. Pure."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

# A service with fewer groups is treated as one unit, as if nothing were known of its groups.
MIN_GROUPS = 2


@dataclass(frozen=True, slots=True)
class GroupMembers:
    """One model group: ``ranks`` are the instances of its upstreams, ``size`` of them if whole."""

    name: str
    epoch: int
    size: int
    ranks: frozenset[str]


class GroupTable:
    """The groups of the services that have several."""

    def __init__(self) -> None:
        self._groups: dict[str, dict[str, GroupMembers]] = {}
        self._group_of: dict[str, str] = {}

    def replace(self, service: str, groups: Sequence[GroupMembers]) -> None:
        """Replace the groups of a service."""
        self.remove(service)
        if len(groups) < MIN_GROUPS:
            return
        self._groups[service] = {group.name: group for group in groups}
        for group in groups:
            self._group_of.update(dict.fromkeys(group.ranks, group.name))

    def remove(self, service: str) -> None:
        """Forget the groups of a service."""
        for group in self._groups.pop(service, {}).values():
            for instance in group.ranks:
                self._group_of.pop(instance, None)

    def group_of(self, instance: str) -> str | None:
        """Return the group of an upstream; none if its service has one group or it is unknown."""
        return self._group_of.get(instance)

    def groups(self, service: str) -> Mapping[str, GroupMembers]:
        """Return the groups of a service by name, empty with fewer than two."""
        return self._groups.get(service, {})
