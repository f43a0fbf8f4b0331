"""A model group, its gateways and their callers as a simulation with a clock of its own.

All ranks pass in step. The experts' part of the work is spread by the expert map: the most loaded
rank has ``imbalance`` times the mean. Gateways learn of each other's requests after a delay.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from bluebellrun.admission import GateSettings, Send, ServiceGate, Shed, SlotUsage
from bluebellrun.deployment import EngineTerms, ExpertTerms, Repeat, Route, Share
from bluebellrun.gateway._admission_terms import AdmissionTerms
from bluebellrun.gateway._load_shedding import LoadShedding

ENGINE = EngineTerms(
    5,
    0,
    0.00484,
    0.00087,
    0,
    74_800,
    0,
    512,
    7,
    868,
    158,
    experts=ExpertTerms(16, 96, 5, 2, 1, 0.85),
)
RANKS, ENTRIES = 24, 4
STEP_S, POLL_S, REPORT_S = 0.01, 0.04, 0.1
OBJECTIVES_S, MAX_PAUSE_S, DEADLINE_S, PATIENCE_S = (0.406, 0.407, 0.807), 0.12, 8.0, 2.0


def route(urgency: int) -> Route:
    return Route(
        f"r{urgency}", "h", "/", Repeat.IDEMPOTENT, (Share("s", 1),), DEADLINE_S,
        OBJECTIVES_S[urgency], urgency, 2, True, True, MAX_PAUSE_S,
    )  # fmt: skip


@dataclass(eq=False)
class Caller:
    """A caller's request: what it asks for, and what became of it."""

    id: str
    urgency: int
    arrived: float
    prompt: int = 868
    answer: int = 158
    customer: str = ""
    tries: int = 0
    sent_at: float = 0.0
    retry_at: float | None = None
    refusals: list[tuple[float, float]] = field(default_factory=list)
    first_event: float | None = None
    last_event: float = 0.0
    longest_pause: float = 0.0
    tokens: int = 0
    ended: float | None = None
    failed: bool = False

    @property
    def served(self) -> bool:
        return self.ended is not None

    @property
    def on_time(self) -> bool:
        return (
            self.first_event is not None
            and self.first_event - self.arrived <= OBJECTIVES_S[self.urgency]
            and self.longest_pause <= MAX_PAUSE_S
        )


class Entry:
    """One gateway: the requests that wait at it, and those that it has sent."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.gate = ServiceGate(GateSettings())
        fleet: Any = SimpleNamespace(
            slot_usage=self.usage,
            load=lambda service, instance, now: self.usage(service, now).load,
            groups=SimpleNamespace(has_several=lambda service: False),
        )
        self.shedding = LoadShedding("s", fleet, ENGINE, lambda: ENTRIES)
        self.waiting: dict[Caller, tuple[AdmissionTerms, bool]] = {}
        self.running: set[Caller] = set()
        self.reported = 0

    def usage(self, service: str, now: float) -> SlotUsage:
        others = sum(entry.reported for entry in self.world.entries if entry is not self)
        return SlotUsage(RANKS * ENGINE.slots, len(self.running) + others, 2.0)

    def offer(self, caller: Caller, now: float) -> None:
        caller.tries += 1
        caller.sent_at, caller.retry_at = now, None
        deadline = caller.arrived + DEADLINE_S
        until = min(now + PATIENCE_S - 0.3, deadline - 1.5)
        terms = AdmissionTerms(
            caller.id, route(caller.urgency), caller.urgency, until, caller.tries > 1,
            now, deadline, caller.prompt, caller.answer,
        )  # fmt: skip
        self.shedding.record_arrival(terms, now)
        self.decide(caller, terms, False, now)

    def decide(self, caller: Caller, terms: AdmissionTerms, waits: bool, now: float) -> None:
        if not self.gate.admits(now, waits):
            decision: Any = self.shedding.wait(terms, now)
            if now + POLL_S >= terms.send_deadline:
                decision = Shed("outage")
        elif self.gate.is_unavailable(now):
            decision = self.shedding.probe(terms, now)
        else:
            decision = self.shedding.decide(terms, now)
        self.waiting.pop(caller, None)
        match decision:
            case Send():
                if self.world.is_broken(now):
                    self.gate.record_refusal(now)
                    self.shedding.shedder.finish(caller.id)
                    self.waiting[caller] = (terms, True)
                else:
                    self.gate.record_accepted(now)
                    self.running.add(caller)
                    self.world.start(caller)
            case Shed():
                self.shedding.shedder.leave(caller.id)
                earliest_s = self.gate.retry_after_s(now)
                after_s = self.shedding.refuse(terms, earliest_s, now)
                self.world.refuse(caller, now, after_s)
            case _:
                self.waiting[caller] = (terms, True)

    def poll(self, now: float) -> None:
        for caller, (terms, _) in list(self.waiting.items()):
            self.decide(caller, terms, True, now)

    def end(self, caller: Caller) -> None:
        if caller in self.running:
            self.running.remove(caller)
            self.shedding.shedder.finish(caller.id)


class World:
    """The group and all callers; ``imbalance`` is a function of the time."""

    def __init__(
        self,
        imbalance: Callable[[float], float] = lambda now: 1.2,
        outage: tuple[float, float] = (0.0, 0.0),
        restarts: bool = False,
        seed: int = 1,
    ) -> None:
        self.random = Random(seed)
        self.imbalance, self.outage, self.restarts = imbalance, outage, restarts
        self.entries: list[Entry] = []
        self.entries = [Entry(self) for _ in range(ENTRIES)]
        self.callers: list[Caller] = []
        self.queued: list[Caller] = []
        self.ranks: list[list[Caller]] = [[] for _ in range(RANKS)]
        self.passes: list[tuple[float, float, int]] = []
        self.pass_began, self.pass_ends = 0.0, 0.0

    def is_broken(self, now: float) -> bool:
        return self.outage[0] <= now < self.outage[1]

    def start(self, caller: Caller) -> None:
        self.queued.append(caller)

    def refuse(self, caller: Caller, now: float, after_s: float) -> None:
        caller.refusals.append((now - caller.sent_at, after_s))
        left_s = caller.arrived + DEADLINE_S - now
        if caller.tries == 1:
            caller.retry_at = now + min(after_s, left_s / 3)
        else:
            caller.failed = True

    def run(self, until: float, arrivals: Callable[[float, Random], list[Caller]]) -> None:
        """Run the callers that ``arrivals`` returns for each step."""
        now = 0.0
        while now < until:
            now += STEP_S
            returned = [c for c in self.callers if c.retry_at is not None and c.retry_at <= now]
            new = arrivals(now, self.random)
            self.callers += new
            self._advance(now)
            if self.is_broken(now) and self.restarts:
                for caller in [*new, *returned]:
                    caller.sent_at, caller.tries = now, caller.tries + 1
                    self.refuse(caller, now, 1.0)
                self.entries = [Entry(self) for _ in range(ENTRIES)]
                continue
            for caller in [*new, *returned]:
                self.random.choice(self.entries).offer(caller, now)
            for number, entry in enumerate(self.entries):
                if round(now / STEP_S) % round(POLL_S / STEP_S) == number % 4:
                    entry.poll(now)
                if round(now / STEP_S) % round(REPORT_S / STEP_S) == (3 * number) % 10:
                    entry.reported = len(entry.running)

    def _advance(self, now: float) -> None:
        """End the pass that is over, and begin the next one."""
        if self.is_broken(now):
            for caller in [*self.queued, *(c for rank in self.ranks for c in rank)]:
                self._end(caller)
                caller.failed = True
            self.queued, self.ranks = [], [[] for _ in range(RANKS)]
            return
        if now < self.pass_ends:
            return
        for rank in self.ranks:
            for caller in rank:
                self._emit(caller, now)
            rank[:] = [caller for caller in rank if not caller.served]
        self.queued.sort(key=lambda caller: (caller.urgency, caller.sent_at))
        for rank in sorted(self.ranks, key=len):
            while len(rank) < ENGINE.slots and self.queued:
                if any(len(other) < len(rank) for other in self.ranks):
                    break
                rank.append(self.queued.pop(0))
        works = [self._work_s(rank) for rank in self.ranks]
        mean, share = sum(works) / RANKS, 0.85
        pass_s = ENGINE.stride * ENGINE.step_s
        pass_s += (1 - share) * max(works) + share * self.imbalance(now) * mean
        self.pass_began, self.pass_ends = now, now + pass_s
        self.passes.append((now, pass_s, sum(map(len, self.ranks))))

    def _work_s(self, rank: list[Caller]) -> float:
        """Return a rank's work in one pass if experts were spread evenly."""
        reading = sum(c.prompt for c in rank if c.first_event is None)
        return ENGINE.stride * ENGINE.writer_s * len(rank) + reading / ENGINE.read_tokens_per_s

    def _emit(self, caller: Caller, now: float) -> None:
        """Give a stream the events of a pass."""
        if caller.first_event is None:
            caller.first_event = now
        else:
            pause_s = now - caller.last_event
            caller.longest_pause = max(caller.longest_pause, pause_s)
            for entry in self.entries:
                if caller in entry.running:
                    entry.shedding.record_pause(pause_s, MAX_PAUSE_S, now, "u")
        caller.last_event = now
        caller.tokens += ENGINE.stride
        if caller.tokens >= caller.answer:
            caller.ended = now
            self._end(caller)

    def _end(self, caller: Caller) -> None:
        for entry in self.entries:
            entry.end(caller)


def poisson(rates: dict[int, float], **fields: Any) -> Callable[[float, Random], list[Caller]]:
    """Return arrivals of each urgency at a rate a second, with sizes around the usual ones."""

    def arrivals(now: float, random: Random) -> list[Caller]:
        found = []
        for urgency, rate in rates.items():
            if random.random() < rate * STEP_S:
                size = random.lognormvariate(-0.25, 0.7)
                answer = max(7, int(158 * random.lognormvariate(-0.1, 0.45)))
                caller = Caller(f"{now:.2f}.{urgency}", urgency, now, int(868 * size), answer)
                found.append(caller)
        return found

    return arrivals


def part(callers: list[Caller], judge: Callable[[Caller], bool]) -> float:
    """Return the part of the callers for which ``judge`` is true."""
    return sum(map(judge, callers)) / max(1, len(callers))
