"""Fakes at the policies' interfaces, driven by a clock of their own: no sockets, no processes.

The same policies as in the processes decide; engines are slots and a step time, the network is a
fixed delay. A run of half a minute takes seconds and gives the same figures each time.
"""

import heapq
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from bluebellrun.admission import (
    AdmissionPolicy,
    AdmissionSettings,
    PriorityTarget,
    Work,
    make_admission,
)
from bluebellrun.agent._steps import StepTimeAverage
from bluebellrun.routing import (
    Candidate,
    RetryBudget,
    RetrySettings,
    RoutedWork,
    RoutingPolicy,
    UpstreamLoad,
    make_routing,
)

NETWORK_S = 0.001
SERVICE = "pool"
EXPIRE_S = 0.02
URGENCIES = 8


@dataclass(frozen=True, slots=True)
class FakeSizes:
    """Sizes of the fleet; times in seconds."""

    entries: int = 3
    upstreams: int = 12
    slots: int = 4
    step_s: float = 0.042
    max_attempts: int = 4
    failure_domains: int = 3
    tell_served_elsewhere: bool = True


@dataclass(slots=True)
class FakeRequest:
    """A request, and what became of it; times in seconds from the start."""

    customer: str
    priority: int
    at_s: float
    tokens: int
    first_token_s: float
    deadline_s: float
    prompt: bytes = b""
    share: float = 1.0
    attempts: int = 0
    upstream: str = ""
    entry: int = 0
    refused: bool = False
    first_at: float | None = None
    ended_at: float | None = None
    tried: set[str] = field(default_factory=set)

    @property
    def on_time(self) -> bool:
        """Return whether its answer was whole and within its targets."""
        if self.ended_at is None or self.first_at is None:
            return False
        in_time = self.ended_at - self.at_s <= self.deadline_s
        return in_time and self.first_at - self.at_s <= self.first_token_s


@dataclass(slots=True)
class _Running:
    """A request inside a fake engine."""

    request: FakeRequest
    work: Work
    started: float
    produced: int = 0
    last: float = 0.0

    @property
    def engine_priority(self) -> int:
        """Return the priority that the engine goes by."""
        told = self.work.engine_priority
        return self.work.priority if told is None else told


class FakeUpstream:
    """An agent's admission before an engine of slots and steps."""

    def __init__(self, fleet: "FakeFleet", number: int, admission: AdmissionPolicy) -> None:
        self.name = f"up-{number:02}"
        self.failure_domain = f"zone-{number % fleet.sizes.failure_domains}"
        self.admission = admission
        self.slow_factor = 1.0
        self.load = UpstreamLoad()
        self._fleet = fleet
        self._requests: dict[str, FakeRequest] = {}
        self._slots: list[_Running] = []
        self._queue: list[_Running] = []
        self._stepping = False
        self._step_time = StepTimeAverage()

    def offer(self, request: FakeRequest, work: Work) -> None:
        """Take a request as the agent does."""
        now = self._fleet.now
        self._requests[work.attempt] = request
        refusal = self.admission.offer(work, now)
        if refusal is not None:
            self._refuse(work)
        self._advance()

    def expire(self) -> None:
        """Refuse what can no longer be on time."""
        for refusal in self.admission.expire(self._fleet.now):
            self._refuse(refusal.work)
        self._advance()

    def _refuse(self, work: Work) -> None:
        """Tell the entry that a request does not run."""
        request = self._requests.pop(work.attempt)
        self._fleet.after(NETWORK_S, lambda: self._fleet.refused(request, self.name))

    def _advance(self) -> None:
        """Start work, and steps if none are under way."""
        now = self._fleet.now
        while (work := self.admission.start_next(now)) is not None:
            self._queue.append(_Running(self._requests[work.attempt], work, now))
        if not self._stepping and (self._queue or self._slots):
            self._stepping = True
            self._fill()
            self._fleet.after(self._fleet.sizes.step_s * self.slow_factor, self._step)
        self._report()

    def _fill(self) -> None:
        """Give free slots to queued requests, the most urgent first."""
        self._queue.sort(key=lambda item: (item.engine_priority, item.started))
        while self._queue and len(self._slots) < self._fleet.sizes.slots:
            self._slots.append(self._queue.pop(0))

    def _step(self) -> None:
        """Produce a token for each request in a slot."""
        now = self._fleet.now
        for item in self._slots:
            self._produce(item, now)
        ended = [item for item in self._slots if item.produced >= item.request.tokens]
        late = [item for item in self._slots if item.work.deadline < now and item not in ended]
        self._slots = [item for item in self._slots if item not in ended and item not in late]
        for item in [*ended, *late]:
            del self._requests[item.work.attempt]
            self.admission.finish(item.work, item.produced, now)
            self._fleet.ended(item.request)
        for item in ended:
            item.request.ended_at = now + 2 * NETWORK_S
        self._stepping = False
        self._advance()

    def _produce(self, item: _Running, now: float) -> None:
        """Produce one token and let admission see its time."""
        item.produced += 1
        if item.produced == 1:
            item.request.first_at = now + 2 * NETWORK_S
            self.admission.observe_first_token(item.work, now - item.started, now)
        else:
            gap_s = now - item.last
            self._step_time.observe(gap_s)
            self.admission.observe_step(gap_s, now)
        item.last = now

    def _report(self) -> None:
        """Send the load to the entries."""
        load = UpstreamLoad(
            waiting=self.admission.waiting,
            running=self.admission.running,
            waiting_tokens=self.admission.waiting_cost,
            limit=self.admission.limit,
            step_s=self._step_time.seconds,
            reported=self._fleet.now + NETWORK_S,
            waiting_before=tuple(self.admission.waiting_before(p) for p in range(URGENCIES)),
        )

        def arrive() -> None:
            self.load = load

        self._fleet.after(NETWORK_S, arrive)


class _FakeEntry:
    """An entry's routing and retries."""

    def __init__(self, number: int, routing: RoutingPolicy, random: Random) -> None:
        self.number = number
        self.routing = routing
        self.budget = RetryBudget(RetrySettings(), random)
        self.in_flight: dict[str, int] = {}
        self.totals: dict[str, float] = {}
        self.seen: dict[tuple[str, str], float] = {}

    def served_elsewhere(self, customer: str, upstream: str) -> float:
        """Return what ran elsewhere for a customer since its last request to an upstream."""
        total = self.totals.get(customer, 0.0)
        elsewhere = total - self.seen.get((customer, upstream), total)
        self.seen[customer, upstream] = total
        return elsewhere

    def note_ran(self, request: FakeRequest) -> None:
        """Count a request that was answered."""
        customer, upstream = request.customer, request.upstream
        self.totals[customer] = self.totals.get(customer, 0.0) + request.tokens
        self.seen[customer, upstream] += request.tokens


class FakeFleet:
    """Entries, upstreams and the clock."""

    def __init__(
        self,
        sizes: FakeSizes,
        routing: str,
        admission: str,
        targets: Sequence[PriorityTarget],
        seed: int,
    ) -> None:
        self.sizes = sizes
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._attempts = itertools.count()
        bounds = AdmissionSettings(concurrency=sizes.slots)
        self.upstreams = [
            FakeUpstream(self, number, make_admission(admission, bounds))
            for number in range(sizes.upstreams)
        ]
        for upstream in self.upstreams:
            upstream.admission.update_targets(targets)
        self._by_name = {upstream.name: upstream for upstream in self.upstreams}
        self._entries = [
            _FakeEntry(
                number,
                make_routing(
                    routing, Random(f"{seed}/{number}"), f"zone-{number % sizes.failure_domains}"
                ),
                Random(f"retry/{seed}/{number}"),
            )
            for number in range(sizes.entries)
        ]

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run(self, requests: Sequence[FakeRequest], until_s: float) -> None:
        """Offer requests at their times and run until a moment."""
        for index, request in enumerate(requests):
            entry = self._entries[index % len(self._entries)]
            request.entry = entry.number
            self.after(request.at_s - self.now, self._first(entry, request))
        for upstream in self.upstreams:
            self._expire_for_ever(upstream)
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def refused(self, request: FakeRequest, upstream: str) -> None:
        """Offer a refused request elsewhere if that is allowed."""
        entry = self._entries[request.entry]
        entry.in_flight[upstream] -= 1
        entry.routing.on_refused(upstream, request.priority, self.now)
        request.tried.add(upstream)
        pause_s = entry.budget.pause_s(request.attempts)
        late = self.now + pause_s >= request.at_s + request.deadline_s
        spent = request.attempts >= self.sizes.max_attempts
        if late or spent or not entry.budget.acquire(request.priority, request.customer):
            request.refused = True
            return
        self.after(pause_s, lambda: self._send(entry, request))

    def ended(self, request: FakeRequest) -> None:
        """Note that a request left its upstream."""
        entry = self._entries[request.entry]
        entry.in_flight[request.upstream] -= 1
        entry.note_ran(request)
        entry.routing.on_finished(request.upstream, self.now - request.at_s, False, self.now)

    def stragglers(self) -> frozenset[str]:
        """Return the upstreams that every entry takes for stragglers."""
        found = [entry.routing.stragglers for entry in self._entries]
        return frozenset.intersection(*found)

    def _first(self, entry: _FakeEntry, request: FakeRequest) -> Callable[[], None]:
        """Return the action of a request's arrival."""

        def arrive() -> None:
            entry.budget.record_first(request.priority, request.customer)
            self._send(entry, request)

        return arrive

    def _send(self, entry: _FakeEntry, request: FakeRequest) -> None:
        """Choose an upstream and send the request there."""
        deadline = request.at_s + request.deadline_s
        routed = RoutedWork(SERVICE, request.customer, request.priority, request.prompt, deadline)
        candidates = [
            Candidate(u.name, "region", u.failure_domain, entry.in_flight.get(u.name, 0), u.load)
            for u in self.upstreams
            if u.name not in request.tried
        ]
        chosen = entry.routing.choose(routed, candidates, self.now)
        if chosen is None:
            request.refused = True
            return
        request.attempts += 1
        request.upstream = chosen.name
        entry.in_flight[chosen.name] = entry.in_flight.get(chosen.name, 0) + 1
        elsewhere = entry.served_elsewhere(request.customer, chosen.name)
        work = Work(
            attempt=f"a{next(self._attempts)}",
            customer=request.customer,
            priority=request.priority,
            arrived=request.at_s,
            deadline=deadline,
            share=request.share,
            max_tokens=request.tokens,
            served_elsewhere=elsewhere if self.sizes.tell_served_elsewhere else 0.0,
        )
        upstream = self._by_name[chosen.name]
        self.after(NETWORK_S, lambda: upstream.offer(request, work))

    def _expire_for_ever(self, upstream: FakeUpstream) -> None:
        """Let an agent look for late work again and again."""
        upstream.expire()
        self.after(EXPIRE_S, lambda: self._expire_for_ever(upstream))
