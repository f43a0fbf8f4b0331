"""Eject upstreams that fail again and again, but never so many that a common fault ejects all."""

from collections.abc import Collection
from dataclasses import dataclass

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
MOST_EJECTED_PART = 1 / 3
FORGET_AFTER_S = 60.0


@dataclass(slots=True)
class _Record:
    """Failures of one upstream in a row, and until when it is ejected, in seconds."""

    failures: int = 0
    times_ejected: int = 0
    until: float = 0.0


class OutlierEjection:
    """Count failures in a row and eject for a time that doubles."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_success(self, name: str, now: float) -> None:
        """Note that a request was answered; an old ejection is forgotten."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures = 0
        if now > record.until + FORGET_AFTER_S:
            del self._records[name]

    def record_failure(self, name: str, now: float) -> None:
        """Note a failure that speaks against the upstream."""
        record = self._records.setdefault(name, _Record())
        if now < record.until:
            return
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            duration_s = FIRST_EJECTION_S * 2**record.times_ejected
            record.until = now + min(duration_s, LONGEST_EJECTION_S)
            record.times_ejected = min(record.times_ejected + 1, 10)
            record.failures = FAILURES_TO_EJECT - 1

    def record_unreachable(self, name: str, now: float) -> None:
        """Note that no connection can be made: no further failures are waited for."""
        record = self._records.setdefault(name, _Record())
        record.failures = max(record.failures, FAILURES_TO_EJECT - 1)
        self.record_failure(name, now)

    def ejected(self, names: Collection[str], now: float) -> frozenset[str]:
        """Return which of these upstreams are ejected now, the surest third at most."""
        out = [
            (record.until, name)
            for name in names
            if (record := self._records.get(name)) is not None and now < record.until
        ]
        most = int(len(names) * MOST_EJECTED_PART)
        return frozenset(name for _, name in sorted(out, reverse=True)[:most])

    def retain(self, names: Collection[str]) -> None:
        """Forget upstreams that are gone."""
        for name in [name for name in self._records if name not in names]:
            del self._records[name]
