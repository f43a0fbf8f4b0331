"""Runtime invariants: cheap checks that are always enabled.

A violation is counted and passed to a reporter. It also raises if the registry is configured as
fatal, as in tests and soak runs.
"""

from collections import Counter
from collections.abc import Callable

Reporter = Callable[[str, dict[str, object]], None]


class InvariantError(AssertionError):
    """An invariant was violated."""


class Invariants:
    """Check invariants, count violations and report them."""

    def __init__(self, fatal: bool = False, reporter: Reporter | None = None) -> None:
        self._fatal = fatal
        self._reporter = reporter
        self._violations: Counter[str] = Counter()

    @property
    def violations(self) -> Counter[str]:
        """Return how many times each named invariant was violated."""
        return self._violations

    def configure(self, fatal: bool, reporter: Reporter | None) -> None:
        """Set whether a violation raises, and the reporter that receives violations."""
        self._fatal = fatal
        self._reporter = reporter

    def check(self, holds: bool, name: str, **trace: object) -> bool:
        """Return whether the named invariant holds; record a violation if it does not."""
        if holds:
            return True
        self._violations[name] += 1
        if self._reporter is not None:
            self._reporter(name, trace)
        if self._fatal:
            raise InvariantError(f"{name}: {trace}")
        return False


invariants = Invariants()
