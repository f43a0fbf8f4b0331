"""How many callers a process accepts with the descriptors that its host grants. Pure."""

# The platform keeps as many of a process's descriptors for files.
RESERVED_FOR_FILES = 200
# Each request in progress has a connection to a caller and one to an upstream; callers also keep
# connections open between requests. The rest goes to upstreams, the store, gateways and readiness.
CALLERS_PART = 2 / 3
LINKS_PART = 1 / 4
LEAST_CONNECTIONS = 16


def caller_connections(max_descriptors: int, most: int) -> int:
    """Return how many connections of callers are accepted, ``most`` without a bound (0)."""
    return _connections(max_descriptors, most, CALLERS_PART)


def peer_links(max_descriptors: int, most: int) -> int:
    """Return how many links of other processes are accepted, ``most`` without a bound (0)."""
    return _connections(max_descriptors, most, LINKS_PART)


def _connections(max_descriptors: int, most: int, part: float) -> int:
    if not max_descriptors:
        return most
    granted = int((max_descriptors - RESERVED_FOR_FILES) * part)
    return min(most, max(LEAST_CONNECTIONS, granted))
