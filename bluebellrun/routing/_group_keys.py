"""Which upstreams of a service form one group, also those that no survey has assigned yet. Pure."""

from bluebellrun.routing._group_table import GroupTable

# A group's name and an empty text; for an upstream in no known group, an empty text and the
# upstream's instance, as it counts as a group of its own.
GroupKey = tuple[str, str]


def group_key(table: GroupTable, instance: str) -> GroupKey:
    """Return the key of the group of an upstream whose service has several groups."""
    name = table.group_of(instance)
    return ("", instance) if name is None else (name, "")


def group_label(key: GroupKey) -> str:
    """Return a group's name as log lines show it."""
    name, instance = key
    return name or f"upstream {instance}"
