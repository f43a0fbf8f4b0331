"""First in, first out: the baseline that other policies are compared with."""

from collections import deque
from collections.abc import Sequence

from bluebellrun.admission._models import AdmissionSettings, PriorityTarget, Refusal, Work


class FifoAdmission:
    """Run work in order of arrival, a fixed number of requests at once."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._queue: deque[Work] = deque()
        self._running: set[str] = set()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._running)

    @property
    def waiting_cost(self) -> float:
        """Return the cost of the requests that wait."""
        return sum(work.cost for work in self._queue)

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self._settings.concurrency

    def waiting_before(self, priority: int) -> int:
        """Return the number of all waiting requests, as priorities are ignored."""
        return self.waiting

    def update_targets(self, targets: Sequence[PriorityTarget]) -> None:
        """Ignore targets."""

    def offer(self, work: Work, now: float) -> Refusal | None:
        """Queue work, or refuse it when the queue is full."""
        if len(self._queue) >= self._settings.max_waiting:
            return Refusal(work, "the queue is full", retry_after_s=1.0)
        self._queue.append(work)
        return None

    def start_next(self, now: float) -> Work | None:
        """Start and return the oldest work when fewer than the limit run."""
        if not self._queue or len(self._running) >= self._settings.concurrency:
            return None
        work = self._queue.popleft()
        self._running.add(work.attempt)
        return work

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return work whose deadline has passed."""
        late = [work for work in self._queue if work.deadline <= now]
        if late:
            self._queue = deque(work for work in self._queue if work.deadline > now)
        return [Refusal(work, "its deadline passed while it waited") for work in late]

    def withdraw(self, attempt: str) -> bool:
        """Remove waiting work; return whether it was waiting."""
        before = len(self._queue)
        self._queue = deque(work for work in self._queue if work.attempt != attempt)
        return len(self._queue) < before

    def finish(self, work: Work, tokens: int, now: float) -> None:
        """Record that running work has ended."""
        self._running.discard(work.attempt)

    def drain(self) -> list[Work]:
        """Remove and return all waiting work."""
        drained = list(self._queue)
        self._queue.clear()
        return drained

    def observe_first_token(self, work: Work, seconds: float, now: float) -> None:
        """Ignore first tokens: the limit is fixed."""

    def observe_step(self, step_s: float, now: float) -> None:
        """Ignore step times: the limit is fixed."""
