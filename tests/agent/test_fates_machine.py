"""An entry and an agent with late, repeated and reordered messages, pauses and restarts."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellrun.agent._fates import FateHistory
from bluebellrun.messages import Fate, FateAnswer
from tests.machines import example_count

HORIZON_S = 5.0
LATEST_S = 3.0
PICKS = st.integers(0, 1_000)


class EntryAndAgent(RuleBasedStateMachine):
    """Messages arrive at most ``LATEST_S`` of the agent's running time after they were sent."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.life = 0
        self.book = FateHistory(HORIZON_S, 1_000, 3)
        self.book.tick(0.0)
        self.live: set[str] = set()
        self.sent: dict[str, tuple[int, float]] = {}
        self.flying: list[tuple[str, float]] = []
        self.runs: Counter[str] = Counter()
        self.told: dict[str, Fate] = {}

    @rule()
    def submit(self):
        attempt = f"a{len(self.sent)}"
        self.sent[attempt] = (self.life, self.now)
        self.flying.append((attempt, self.now + LATEST_S))

    @precondition(lambda self: self.flying)
    @rule(pick=PICKS, again=st.booleans())
    def a_request_arrives(self, pick, again):
        attempt, latest = self.flying[pick % len(self.flying)]
        if not again:
            self.flying.remove((attempt, latest))
        life, _ = self.sent[attempt]
        known = self.book.recall(attempt)
        if life != self.life or known is not None or attempt in self.live:
            return
        self.runs[attempt] += 1
        self.live.add(attempt)

    @precondition(lambda self: self.live)
    @rule(pick=PICKS)
    def a_run_ends(self, pick):
        attempt = sorted(self.live)[pick % len(self.live)]
        self.live.discard(attempt)
        self.book.record(attempt, FateAnswer(Fate.RAN, "it ran"))

    @precondition(lambda self: self.sent)
    @rule(pick=PICKS)
    def the_entry_asks(self, pick):
        attempt = list(self.sent)[pick % len(self.sent)]
        life, sent_at = self.sent[attempt]
        if life != self.life or attempt in self.live:
            return
        self.told[attempt] = self.book.query_fate(attempt, self.now - sent_at).fate

    @rule(seconds=st.floats(0.0, 3.0))
    def time_passes(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            self.book.tick(self.now)
        self.flying = [item for item in self.flying if item[1] >= self.now]

    @rule(seconds=st.floats(0.0, 100.0))
    def the_agent_is_paused(self, seconds):
        self.now += seconds
        self.book.tick(self.now)
        self.flying = [(attempt, latest + seconds) for attempt, latest in self.flying]

    @rule()
    def the_agent_is_restarted(self):
        self.life += 1
        self.live.clear()
        self.book = FateHistory(HORIZON_S, 1_000, 3)
        self.book.tick(self.now)

    @invariant()
    def what_is_told_not_run_never_ran(self):
        for attempt, fate in self.told.items():
            assert not (fate is Fate.NOT_RUN and self.runs[attempt]), attempt

    @invariant()
    def no_attempt_runs_twice_in_one_life(self):
        assert all(count <= 1 for count in self.runs.values())


EntryAndAgent.TestCase.settings = settings(max_examples=example_count(100), stateful_step_count=40)
TestEntryAndAgent = EntryAndAgent.TestCase
