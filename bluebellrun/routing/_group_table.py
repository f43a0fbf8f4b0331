"""The groups of the services that have several, with the instances that are their ranks. Pure."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

_NO_GROUPS: Mapping[str, "GroupMembers"] = MappingProxyType({})
MIN_GROUPS = 2


@dataclass(frozen=True, slots=True)
class GroupMembers:
    """A group as last surveyed; ``ranks`` are the instances of its ranks."""

    name: str
    epoch: int
    size: int
    ranks: frozenset[str]


class GroupTable:
    """Groups by service; a service with fewer than two groups has no entry."""

    def __init__(self) -> None:
        self._services: dict[str, Mapping[str, GroupMembers]] = {}
        self._group_of: dict[str, tuple[str, str]] = {}

    def replace(self, service: str, groups: Sequence[GroupMembers]) -> None:
        """Replace the groups of a service.

        An instance listed in two groups counts to the one with the later epoch: it has moved.
        """
        self.remove(service)
        members = {group.name: group for group in groups}
        if len(members) < MIN_GROUPS:
            return
        self._services[service] = MappingProxyType(members)
        for group in sorted(members.values(), key=lambda item: item.epoch):
            for instance in group.ranks:
                self._group_of[instance] = (service, group.name)

    def remove(self, service: str) -> None:
        """Remove the groups of a service."""
        if self._services.pop(service, None) is None:
            return
        kept = {name: found for name, found in self._group_of.items() if found[0] != service}
        self._group_of = kept

    def group_of(self, instance: str) -> str | None:
        """Return the group of an instance, none if its service has one or it is not known."""
        found = self._group_of.get(instance)
        return None if found is None else found[1]

    def groups(self, service: str) -> Mapping[str, GroupMembers]:
        """Return the groups of a service by name, empty if it has fewer than two."""
        return self._services.get(service, _NO_GROUPS)
