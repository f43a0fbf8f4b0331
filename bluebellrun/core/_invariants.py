"""Runtime invariants: cheap checks that are always on.

A violation is counted and handed to a reporter; it raises when the registry is fatal, which
tests and soak runs ask for.
"""

from collections import Counter
from collections.abc import Callable

Reporter = Callable[[str, dict[str, object]], None]


class InvariantError(AssertionError):
    """A statement that must always hold was found false."""


class Invariants:
    """Check statements, count violations and report them."""

    def __init__(self, fatal: bool = False, reporter: Reporter | None = None) -> None:
        self._fatal = fatal
        self._reporter = reporter
        self._violations: Counter[str] = Counter()

    @property
    def violations(self) -> Counter[str]:
        """Return how many times each named invariant was violated."""
        return self._violations

    def configure(self, fatal: bool, reporter: Reporter | None) -> None:
        """Set whether a violation raises, and who is told of it."""
        self._fatal = fatal
        self._reporter = reporter

    def check(self, holds: bool, name: str, **trace: object) -> bool:
        """Record a violation of the named invariant unless it holds; return whether it does."""
        if holds:
            return True
        self._violations[name] += 1
        if self._reporter is not None:
            self._reporter(name, trace)
        if self._fatal:
            raise InvariantError(f"{name}: {trace}")
        return False


invariants = Invariants()
