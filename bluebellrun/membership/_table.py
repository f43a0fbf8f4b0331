"""The members of one failure domain, as seen by one of them. Pure.

The row of greater precedence wins a merge, so that all members converge to the same rows in
whatever order they arrive. A member whose links broke is suspect; it is gone when it has
not refuted that in time. A member that receives its own suspicion raises its counter.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from bluebellrun.core import invariants
from bluebellrun.membership._rows import MemberRow, MemberState


@dataclass(frozen=True, slots=True)
class SuspicionTiming:
    """Timing of suspicions, in seconds, and the share of suspects handled without delay.

    When more than ``max_suspect_share`` of the members are suspect together, this process may
    itself be isolated: suspicions then last ``deferred_timeout_s`` before they are confirmed. A
    later incarnation of this process's own name is refuted once per ``conflict_interval_s``, so
    that two processes of one name do not refute each other endlessly.
    """

    suspect_timeout_s: float = 5.0
    deferred_timeout_s: float = 600.0
    max_suspect_share: float = 0.25
    min_suspect_limit: int = 2
    retention_s: float = 900.0
    conflict_interval_s: float = 5.0


class MemberTable:
    """Rows by name, this process's own among them; times in seconds."""

    def __init__(self, own: MemberRow, timing: SuspicionTiming) -> None:
        self._own = own
        self._timing = timing
        self._rows: dict[str, MemberRow] = {own.name: own}
        self._changed_at: dict[str, float] = {}
        self._digest = _row_digest(own)
        self._conflict_at = float("-inf")
        self._conflicts = 0

    @property
    def own(self) -> MemberRow:
        """Return this process's row."""
        return self._own

    @property
    def digest(self) -> int:
        """Return a digest that is equal for tables of equal rows, except gone members."""
        return self._digest

    @property
    def rows(self) -> list[MemberRow]:
        """Return all rows."""
        return list(self._rows.values())

    @property
    def conflicts(self) -> int:
        """Return how often another incarnation of this name was detected."""
        return self._conflicts

    def get(self, name: str) -> MemberRow | None:
        """Return a member's row, or none."""
        return self._rows.get(name)

    def names(self, *states: MemberState) -> list[str]:
        """Return the names of the members in any of some states."""
        return [name for name, row in self._rows.items() if row.state in states]

    def relays(self) -> list[str]:
        """Return the members that may watch and relay: the live ones, sorted."""
        return sorted(self.names(MemberState.LIVE))

    def merge(self, rows: Iterable[MemberRow], now: float) -> list[MemberRow]:
        """Merge rows from others; return the changed ones, to be forwarded."""
        changed: list[MemberRow] = []
        for row in rows:
            if row.name == self._own.name:
                changed += self._refute(row, now)
            elif self._is_newer(row):
                changed.append(self._replace_row(row, now))
        return changed

    def suspect(self, name: str, now: float) -> list[MemberRow]:
        """Mark a member whose links broke as suspect; return the changed row, if any."""
        row = self._rows.get(name)
        if row is None or name == self._own.name:
            return []
        if row.state in (MemberState.SUSPECT, MemberState.GONE):
            return []
        return [self._replace_row(row.with_state(MemberState.SUSPECT), now)]

    def leave(self, now: float) -> list[MemberRow]:
        """Mark this process as leaving; return its changed row."""
        if self._own.leaving:
            return []
        return [self._replace_own(self._own.epoch, self._own.counter + 1, True, now)]

    def expire_suspicions(self, now: float) -> list[MemberRow]:
        """Mark suspects that did not refute in time as gone; return the changed rows."""
        changed = []
        timeout_s = (
            self._timing.deferred_timeout_s
            if self.defers_suspicions
            else self._timing.suspect_timeout_s
        )
        for name in self.names(MemberState.SUSPECT):
            if now - self._changed_at.get(name, now) >= timeout_s:
                changed.append(
                    self._replace_row(self._rows[name].with_state(MemberState.GONE), now)
                )
        self._drop_expired(now)
        return changed

    @property
    def defers_suspicions(self) -> bool:
        """Return whether so many members are suspect that this process may be isolated."""
        suspects = len(self.names(MemberState.SUSPECT))
        others = len(self.names(MemberState.LIVE, MemberState.LEAVING)) + suspects
        limit = max(self._timing.min_suspect_limit, self._timing.max_suspect_share * others)
        return suspects > limit

    def _is_newer(self, row: MemberRow) -> bool:
        """Return whether a row is newer; a gone row of an unknown member is of no use to anyone."""
        held = self._rows.get(row.name)
        if held is None and row.state is MemberState.GONE:
            return False
        return row.supersedes(held)

    def _refute(self, row: MemberRow, now: float) -> list[MemberRow]:
        """Supersede rows of this process from others that are newer than its own."""
        own = self._own
        if not row.supersedes(own):
            return []
        if row.epoch > own.epoch:
            if now - self._conflict_at < self._timing.conflict_interval_s:
                return []
            self._conflict_at = now
            self._conflicts += 1
            return [self._replace_own(row.epoch + 1, 0, own.leaving, now)]
        return [self._replace_own(own.epoch, row.counter + 1, own.leaving, now)]

    def _replace_own(self, epoch: int, counter: int, leaving: bool, now: float) -> MemberRow:
        """Replace this process's own row."""
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        row = msgspec.structs.replace(
            self._own, epoch=epoch, counter=counter, state=state, leaving=leaving
        )
        self._own = row
        return self._replace_row(row, now)

    def _replace_row(self, row: MemberRow, now: float) -> MemberRow:
        """Replace a member's row."""
        old = self._rows.get(row.name)
        invariants.check(row.supersedes(old), "member rows only grow", old=old, new=row)
        self._digest ^= _row_digest(old) ^ _row_digest(row)
        self._rows[row.name] = row
        self._changed_at[row.name] = now
        return row

    def _drop_expired(self, now: float) -> None:
        """Drop members that have been gone for ``retention_s``."""
        for name in self.names(MemberState.GONE):
            if now - self._changed_at.get(name, now) >= self._timing.retention_s:
                self._rows.pop(name)
                self._changed_at.pop(name, None)


def _row_digest(row: MemberRow | None) -> int:
    """Return the digest of one row; 0 for none and for a gone one, which expires."""
    if row is None or row.state is MemberState.GONE:
        return 0
    return int(xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(row)))
