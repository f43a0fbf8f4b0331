"""Number the maps that a holder of a role orders. Pure."""

# Map versions of a holder of the role start at its fencing number times this; a holder that has
# used up its range acquires the role again.
VERSIONS_PER_HOLDER = 1_000_000


class MapVersions:
    """Versions that grow from one map to the next, and from one holder of the role to the next.

    All groups that a process manages share them: a rank that moved to another group may have
    prepared a map of its former group, which must not have the version of another map.
    """

    def __init__(self) -> None:
        # Fencing numbers are those of different roles; no two roles have the same one.
        self._used: dict[int, int] = {}

    def next(self, fencing: int) -> int | None:
        """Return the next version under a fencing number; none if its range is used up."""
        used = self._used.get(fencing, 0) + 1
        if used >= VERSIONS_PER_HOLDER:
            return None
        self._used[fencing] = used
        return fencing * VERSIONS_PER_HOLDER + used
