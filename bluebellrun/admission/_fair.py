"""Admission by deadline, priority, floor and share.

The most urgent work goes first, except when a priority is owed part of its floor. Customers of one
priority share it by virtual time. Work that cannot start in time is refused on arrival. Unused
capacity goes to whatever work waits.
"""

import heapq
from collections.abc import Sequence
from dataclasses import replace

from bluebellrun.admission._concurrency import ConcurrencyLimit
from bluebellrun.admission._estimates import CostEstimates, ServiceRate
from bluebellrun.admission._fair_queue import FairQueue
from bluebellrun.admission._floors import FloorCredits
from bluebellrun.admission._forecast import Demand, WaitInputs, expected_wait
from bluebellrun.admission._models import AdmissionSettings, PriorityTarget, Refusal, Work
from bluebellrun.core import invariants

MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
SAFETY_MARGIN = 0.1
CANNOT_BE_ON_TIME = "it cannot be on time here: too much work waits before it"
HANDBACK_FRACTION = 0.5
TOO_SLOW = "it waited too long here; another upstream may be sooner"
DEADLINE_PASSED = "its deadline passed while it waited"
DISPLACED = "more urgent work took its place in a full queue"
QUEUE_FULL = "the queue is full"


class FairAdmission:
    """Queue, refuse and start work of one upstream."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._queues: dict[int, FairQueue] = {}
        self._works: dict[str, Work] = {}
        self._running: dict[str, tuple[Work, float]] = {}
        self._expiries: list[tuple[float, str]] = []
        self._displaced: list[Work] = []
        self._targets: dict[int, PriorityTarget] = {}
        self._floors = FloorCredits()
        self._costs = CostEstimates()
        self._rate = ServiceRate()
        self._demand: dict[int, Demand] = {}
        self._limit = ConcurrencyLimit(settings.concurrency, settings.learn_concurrency)
        self._started_beyond_limit: set[str] = set()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._works)

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._running)

    @property
    def waiting_cost(self) -> float:
        """Return the cost in tokens of the requests that wait."""
        return sum(queue.cost for queue in self._queues.values())

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self._limit.limit

    def waiting_before(self, priority: int) -> int:
        """Return how many waiting requests are at least as urgent."""
        return sum(len(queue) for p, queue in self._queues.items() if p <= priority)

    def update_targets(self, targets: Sequence[PriorityTarget]) -> None:
        """Replace the targets and floors in force."""
        self._targets = {target.urgency: target for target in targets}
        self._floors.update(targets)
        self._limit.set_gap_target(
            min((target.token_gap_s for target in targets), default=float("inf"))
        )

    def offer(self, work: Work, now: float) -> Refusal | None:
        """Queue work, or refuse it when it cannot be on time or the queue is full."""
        known = work.attempt in self._works or work.attempt in self._running
        invariants.check(not known, "an attempt is offered once", attempt=work.attempt)
        work = replace(work, cost=self._costs.estimate(work))
        if work.served_elsewhere:
            self._queue_of(work.priority).charge_elsewhere(work)
        wait_s = self._expected_wait(work, now)
        late_s = now + wait_s - self._latest_start(work)
        if late_s > 0:
            return Refusal(work, CANNOT_BE_ON_TIME, _bounded_retry(late_s))
        if self.waiting >= self._settings.max_waiting and not self._displace_for(work):
            return Refusal(work, QUEUE_FULL, _bounded_retry(wait_s))
        self._queue_of(work.priority).add(work)
        self._works[work.attempt] = work
        self._demand.setdefault(work.priority, Demand()).add(work.cost, now)
        heapq.heappush(self._expiries, (self._handback_time(work, now), work.attempt))
        within = self.waiting <= self._settings.max_waiting
        invariants.check(within, "waiting work is bounded", waiting=self.waiting)
        return None

    def start_next(self, now: float) -> Work | None:
        """Start and return the next work if there is free capacity for it."""
        priority = self._next_priority()
        if priority is None or not self._has_free_capacity(priority):
            return None
        backlogged = self._backlogged()
        work = self._queues[priority].pop()
        assert work is not None
        if priority != backlogged[0]:
            work = replace(work, engine_priority=backlogged[0])
        del self._works[work.attempt]
        if len(self._running) >= self.limit:
            self._started_beyond_limit.add(work.attempt)
        self._running[work.attempt] = (work, now)
        self._floors.charge(priority, work.cost, backlogged)
        self._clear_if_idle(priority)
        return work

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return waiting work that can no longer be on time or was displaced."""
        refusals = [Refusal(work, DISPLACED, MIN_RETRY_S) for work in self._displaced]
        self._displaced.clear()
        while self._expiries and self._expiries[0][0] <= now:
            _, attempt = heapq.heappop(self._expiries)
            work = self._works.get(attempt)
            if work is not None:
                self._remove(work)
                reason = DEADLINE_PASSED if self._latest_start(work) <= now else TOO_SLOW
                refusals.append(Refusal(work, reason, MIN_RETRY_S))
        return refusals

    def withdraw(self, attempt: str) -> bool:
        """Remove waiting work; return whether it was waiting."""
        work = self._works.get(attempt)
        if work is None:
            return False
        self._remove(work)
        return True

    def finish(self, work: Work, tokens: int, now: float) -> None:
        """Record the end of running work and learn its cost."""
        found = self._running.pop(work.attempt, None)
        self._started_beyond_limit.discard(work.attempt)
        if found is None:
            return
        started, at = found
        cost = started.cost
        if tokens > 0:
            self._costs.learn(started, tokens)
            cost = tokens + self._costs.prompt_cost(started)
            self._queue_of(started.priority).correct(started, cost)
        self._rate.learn(cost, now - at)

    def drain(self) -> list[Work]:
        """Remove and return all waiting work, displaced work included."""
        drained = [*self._displaced, *self._works.values()]
        self._displaced.clear()
        for work in list(self._works.values()):
            self._remove(work)
        self._expiries.clear()
        return drained

    def observe_first_token(self, work: Work, seconds: float, now: float) -> None:
        """Learn the limit from work that was started within it."""
        if work.attempt not in self._started_beyond_limit:
            self._limit.observe_first_token(seconds, self.running >= self.limit)

    def observe_step(self, step_s: float, now: float) -> None:
        """Record the time between two tokens of running work."""
        self._limit.observe_step(step_s)

    def _queue_of(self, priority: int) -> FairQueue:
        """Return the queue of a priority."""
        return self._queues.setdefault(priority, FairQueue())

    def _backlogged(self) -> list[int]:
        """Return the priorities that have work waiting, the most urgent first."""
        return sorted(priority for priority, queue in self._queues.items() if len(queue))

    def _next_priority(self) -> int | None:
        """Return the priority that goes next."""
        backlogged = self._backlogged()
        if not backlogged:
            return None
        owed = self._floors.most_owed(backlogged)
        return backlogged[0] if owed is None else owed

    def _has_free_capacity(self, priority: int) -> bool:
        """Return whether work of a priority may start, in a free slot or a preempted one."""
        if len(self._running) < self.limit:
            return True
        if not self._settings.engine_preempts:
            return False
        return len(self._started_beyond_limit) < self._preemptible(priority)

    def _preemptible(self, priority: int) -> int:
        """Return how many running requests the engine may pause for work of a priority."""
        return sum(
            work.priority > priority and work.engine_priority is None
            for work, _ in self._running.values()
            if work.attempt not in self._started_beyond_limit
        )

    def _expected_wait(self, work: Work, now: float) -> float:
        """Return the expected wait of new work in seconds."""
        if len(self._running) < self.limit and not self._works:
            return 0.0
        rate = self._rate.per_request * self.limit
        urgent = [p for p in self._queues if p < work.priority]
        lower = [p for p in self._backlogged() if p > work.priority]
        ahead = self._queue_of(work.priority).cost_ahead(work)
        inputs = WaitInputs(
            rate=rate,
            own_cost=ahead + work.cost / 2,
            urgent_cost=sum(self._queues[p].cost for p in urgent),
            urgent_rate=sum(self._demand[p].at(now) for p in urgent if p in self._demand),
            floor=self._floors.floor(work.priority),
            lower_floors=sum(self._floors.floor(p) for p in lower),
        )
        return expected_wait(inputs)

    def _latest_start(self, work: Work) -> float:
        """Return the last moment at which work may start and still be on time."""
        run_s = work.cost / self._rate.per_request
        latest = work.deadline - run_s * (1 + SAFETY_MARGIN)
        target = self._target(work.priority)
        if target is None:
            return latest
        first_token_s = target.first_token_s * (1 - SAFETY_MARGIN) - self._limit.first_token_s
        return min(latest, work.arrived + first_token_s)

    def _handback_time(self, work: Work, now: float) -> float:
        """Return when waiting work is refused, early enough for another upstream to be on time."""
        latest = self._latest_start(work)
        if not work.may_go_elsewhere:
            return latest
        return now + (latest - now) * HANDBACK_FRACTION

    def _target(self, priority: int) -> PriorityTarget | None:
        """Return the target of the nearest declared priority that is not more urgent, or none."""
        nearest = min((p for p in self._targets if p >= priority), default=None)
        return None if nearest is None else self._targets[nearest]

    def _displace_for(self, work: Work) -> bool:
        """Displace waiting work that is less urgent, or of a customer with more waiting."""
        lowest = self._backlogged()[-1]
        queue = self._queues[lowest]
        victim = queue.newest_of_largest()
        if victim is None or lowest < work.priority:
            return False
        if lowest == work.priority:
            weight = queue.weight_of(work.customer, work.share) + work.cost / work.share
            if weight >= queue.weight_of(victim.customer, victim.share):
                return False
        self._remove(victim)
        self._displaced.append(victim)
        return True

    def _remove(self, work: Work) -> None:
        """Remove waiting work."""
        del self._works[work.attempt]
        self._queues[work.priority].remove(work)
        self._clear_if_idle(work.priority)

    def _clear_if_idle(self, priority: int) -> None:
        """Clear the floor credit of a priority in which nothing waits."""
        if not len(self._queues[priority]):
            self._floors.clear(priority)


def _bounded_retry(seconds: float) -> float:
    """Return a retry delay within its bounds, in seconds."""
    return min(max(seconds, MIN_RETRY_S), MAX_RETRY_S)
