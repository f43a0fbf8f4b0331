"""Names of the keys that groups and engines have in the key-value service."""


def record_key(prefix: str, group: str) -> str:
    """Return the key of a group's record."""
    return f"{prefix}/groups/{group}/record"


def map_key(prefix: str, group: str, digest: str) -> str:
    """Return the key of an expert map's content."""
    return f"{prefix}/groups/{group}/maps/{digest}"


def action_key(prefix: str, upstream: str) -> str:
    """Return the key of an engine's latest action."""
    return f"{prefix}/actions/{upstream}"


def coordinator_role(group: str) -> str:
    """Return the role of a group's coordinator."""
    return f"group-{group}"
