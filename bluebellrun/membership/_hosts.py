"""Host states derived from the platform's delayed host list. Pure.

A host listed as leaving gets no new work. A host missing from the list counts as gone at once
only when few are missing together: a list that lost many hosts is faulty or reflects a lost
region, not that many failed hosts. Those count as gone after ten minutes, and never because of
an empty list.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import xxhash

LEAVING = "leaving"
MAX_VANISHED_SHARE = 0.1
MIN_VANISHED_LIMIT = 1
VANISHED_TIMEOUT_S = 600.0


@dataclass(frozen=True, slots=True)
class Departures:
    """Hosts and members that get no new work: leaving or gone hosts, and leaving members."""

    leaving: frozenset[str] = frozenset()
    gone: frozenset[str] = frozenset()
    members: frozenset[str] = frozenset()

    def includes(self, host: str, member: str = "") -> bool:
        """Return whether a member on a host is not to be given new work."""
        return host in self.leaving or host in self.gone or member in self.members


class HostTable:
    """The newest reading of the host list, from the platform or from a parent."""

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self._gone: set[str] = set()
        self._read_at: float | None = None
        self._digest = 0
        self._distrusted_readings = 0
        self._missing_since: dict[str, float] = {}

    @property
    def states(self) -> dict[str, str]:
        """Return each listed host's state."""
        return dict(self._states)

    @property
    def gone(self) -> frozenset[str]:
        """Return the hosts that vanished and count as gone."""
        return frozenset(self._gone)

    @property
    def digest(self) -> int:
        """Return a digest that is equal for equal tables; 0 for none."""
        return self._digest

    @property
    def read_at(self) -> float | None:
        """Return when the table was last confirmed, in seconds, or none."""
        return self._read_at

    @property
    def distrusted_readings(self) -> int:
        """Return how many readings were distrusted because they lost many hosts at once."""
        return self._distrusted_readings

    @property
    def departures(self) -> Departures:
        """Return the hosts that get no new work."""
        leaving = {host for host, state in self._states.items() if state == LEAVING}
        return Departures(frozenset(leaving), frozenset(self._gone))

    def apply_reading(self, listed: Mapping[str, str], now: float) -> bool:
        """Apply a reading of the platform's list; return whether anything changed."""
        before = self._digest
        departed = self._departed_of({host for host in self._states if host not in listed}, now)
        if not listed:
            departed = set()
        retained = {h: s for h, s in self._states.items() if h not in listed and h not in departed}
        self._distrusted_readings += bool(retained)
        self._replace({**retained, **listed}, (self._gone | departed) - set(listed))
        self._read_at = now
        return self._digest != before

    def replace(self, states: Mapping[str, str], gone: frozenset[str], now: float) -> bool:
        """Replace the table by a parent's; return whether anything changed."""
        before = self._digest
        self._replace(dict(states), set(gone))
        self._read_at = now
        return self._digest != before

    def confirm(self, now: float) -> None:
        """Record that a parent's table is still equal to this one."""
        self._read_at = now

    def _departed_of(self, vanished: set[str], now: float) -> set[str]:
        """Return the vanished hosts that count as gone: few at once, or missing for long."""
        self._missing_since = {host: self._missing_since.get(host, now) for host in vanished}
        limit = max(MIN_VANISHED_LIMIT, MAX_VANISHED_SHARE * len(self._states))
        if len(vanished) <= limit:
            return vanished
        return {host for host in vanished if now - self._missing_since[host] >= VANISHED_TIMEOUT_S}

    def _replace(self, states: dict[str, str], gone: set[str]) -> None:
        """Replace the table."""
        self._states, self._gone = states, gone
        encoded = msgspec.msgpack.encode([sorted(states.items()), sorted(gone)])
        self._digest = int(xxhash.xxh3_64_intdigest(encoded))
