"""Eject upstreams that fail repeatedly, but never so many that a common fault ejects all."""

from collections.abc import Collection
from dataclasses import dataclass

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_FRACTION = 1 / 3
FORGET_AFTER_S = 60.0


@dataclass(slots=True)
class _Record:
    """Failures of one upstream in a row, and the end of its ejection, in seconds."""

    failures: int = 0
    times_ejected: int = 0
    deadline: float = 0.0


class OutlierEjection:
    """Count failures in a row and eject for a time that doubles."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_success(self, name: str, now: float) -> None:
        """Record that a request was answered; an old ejection is forgotten."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures = 0
        if now > record.deadline + FORGET_AFTER_S:
            del self._records[name]

    def record_failure(self, name: str, now: float) -> None:
        """Record a failure attributed to the upstream."""
        record = self._records.setdefault(name, _Record())
        if now < record.deadline:
            return
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            duration_s = FIRST_EJECTION_S * 2**record.times_ejected
            record.deadline = now + min(duration_s, MAX_EJECTION_S)
            record.times_ejected = min(record.times_ejected + 1, 10)
            record.failures = FAILURES_TO_EJECT - 1

    def record_unreachable(self, name: str, now: float) -> None:
        """Record that no connection can be made: it is ejected at once."""
        record = self._records.setdefault(name, _Record())
        record.failures = max(record.failures, FAILURES_TO_EJECT - 1)
        self.record_failure(name, now)

    def ejected(self, names: Collection[str], now: float) -> frozenset[str]:
        """Return the upstreams ejected now: at most a third, those whose ejection ends last."""
        active = [
            (record.deadline, name)
            for name in names
            if (record := self._records.get(name)) is not None and now < record.deadline
        ]
        max_ejected = int(len(names) * MAX_EJECTED_FRACTION)
        return frozenset(name for _, name in sorted(active, reverse=True)[:max_ejected])

    def retain(self, names: Collection[str]) -> None:
        """Forget all other upstreams."""
        for name in [name for name in self._records if name not in names]:
            del self._records[name]
