"""The prompt parts under which answers have begun lately; bounded."""

from collections import OrderedDict

_Key = tuple[str, str]


class AnsweredParts:
    """Parts by service, the latest last; times in seconds."""

    def __init__(self, max_parts: int, retention_s: float) -> None:
        self._max_parts = max_parts
        self._retention_s = retention_s
        self._answered: OrderedDict[_Key, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._answered)

    def record(self, service: str, part: str, now: float) -> None:
        """Record that an answer to a prompt with a part has begun."""
        self._answered[service, part] = now
        self._answered.move_to_end((service, part))
        if len(self._answered) > self._max_parts:
            self._answered.popitem(last=False)

    def forget(self, service: str, part: str) -> None:
        """Forget that a part was answered."""
        self._answered.pop((service, part), None)

    def includes(self, service: str, part: str) -> bool:
        """Return whether a part was answered."""
        return (service, part) in self._answered

    def expire(self, now: float) -> None:
        """Forget the parts that were answered too long ago."""
        while self._answered:
            key, answered_at = next(iter(self._answered.items()))
            if now - answered_at <= self._retention_s:
                return
            del self._answered[key]
