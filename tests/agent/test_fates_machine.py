"""Stateful test of fate queries with late, duplicate and reordered messages, pauses, restarts."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellrun.agent._fates import FateHistory
from bluebellrun.messages import Fate, FateAnswer
from tests.machines import example_count

HORIZON_S = 5.0
MAX_DELAY_S = 3.0
INDEXES = st.integers(0, 1_000)


class EntryAndAgent(RuleBasedStateMachine):
    """Messages arrive within ``MAX_DELAY_S`` of the agent's running time after they were sent."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.incarnation = 0
        self.history = FateHistory(HORIZON_S, 1_000, 3)
        self.history.tick(0.0)
        self.running: set[str] = set()
        self.sent: dict[str, tuple[int, float]] = {}
        self.in_flight: list[tuple[str, float]] = []
        self.runs: Counter[str] = Counter()
        self.reported: dict[str, Fate] = {}

    @rule()
    def submit(self):
        attempt = f"a{len(self.sent)}"
        self.sent[attempt] = (self.incarnation, self.now)
        self.in_flight.append((attempt, self.now + MAX_DELAY_S))

    @precondition(lambda self: self.in_flight)
    @rule(index=INDEXES, duplicate=st.booleans())
    def deliver_request(self, index, duplicate):
        attempt, latest_arrival = self.in_flight[index % len(self.in_flight)]
        if not duplicate:
            self.in_flight.remove((attempt, latest_arrival))
        incarnation, _ = self.sent[attempt]
        known = self.history.recall(attempt)
        if incarnation != self.incarnation or known is not None or attempt in self.running:
            return
        self.runs[attempt] += 1
        self.running.add(attempt)

    @precondition(lambda self: self.running)
    @rule(index=INDEXES)
    def end_run(self, index):
        attempt = sorted(self.running)[index % len(self.running)]
        self.running.discard(attempt)
        self.history.record(attempt, FateAnswer(Fate.RAN, "it ran"))

    @precondition(lambda self: self.sent)
    @rule(index=INDEXES)
    def entry_queries_fate(self, index):
        attempt = list(self.sent)[index % len(self.sent)]
        incarnation, sent_at = self.sent[attempt]
        if incarnation != self.incarnation or attempt in self.running:
            return
        self.reported[attempt] = self.history.query_fate(attempt, self.now - sent_at).fate

    @rule(seconds=st.floats(0.0, 3.0))
    def advance_time(self, seconds):
        deadline = self.now + seconds
        while self.now < deadline:
            self.now += 0.05
            self.history.tick(self.now)
        self.in_flight = [item for item in self.in_flight if item[1] >= self.now]

    @rule(seconds=st.floats(0.0, 100.0))
    def pause_agent(self, seconds):
        self.now += seconds
        self.history.tick(self.now)
        self.in_flight = [
            (attempt, latest_arrival + seconds) for attempt, latest_arrival in self.in_flight
        ]

    @rule()
    def restart_agent(self):
        self.incarnation += 1
        self.running.clear()
        self.history = FateHistory(HORIZON_S, 1_000, 3)
        self.history.tick(self.now)

    @invariant()
    def attempts_reported_not_run_never_ran(self):
        for attempt, fate in self.reported.items():
            assert not (fate is Fate.NOT_RUN and self.runs[attempt]), attempt

    @invariant()
    def attempts_run_once_per_incarnation(self):
        assert all(count <= 1 for count in self.runs.values())


EntryAndAgent.TestCase.settings = settings(max_examples=example_count(100), stateful_step_count=40)
TestEntryAndAgent = EntryAndAgent.TestCase
