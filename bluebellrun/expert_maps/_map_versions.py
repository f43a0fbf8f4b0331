"""Number the maps that a holder of a role orders. Pure."""

# Map versions of a holder of the role start at its fencing number times this; a holder that has
# used up its range acquires the role again.
VERSIONS_PER_HOLDER = 1_000_000


class MapVersions:
    """Versions that grow from one map to the next, and from one holder of the role to the next.

    All groups under one role share them: a rank that moved to another group may have prepared a
    map of its former group, which must not have the version of another map.
    """

    def __init__(self) -> None:
        self._fencing = 0
        self._used = 0

    def next(self, fencing: int) -> int | None:
        """Return the next version under a fencing number; none if its range is used up."""
        if fencing != self._fencing:
            self._fencing, self._used = fencing, 0
        if self._used + 1 >= VERSIONS_PER_HOLDER:
            return None
        self._used += 1
        return fencing * VERSIONS_PER_HOLDER + self._used
