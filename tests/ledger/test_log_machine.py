"""Several processes on one shard, with late and lost writes, pauses, crashes and compaction."""

from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellrun.ledger import (
    ClaimState,
    Commit,
    Granted,
    LedgerLimits,
    ReadShard,
    ShardLog,
    StoredResult,
)
from tests.ledger.fakes import FakeStore, record
from tests.machines import example_count

LIMITS = LedgerLimits(compact_segments=3, max_commit_records=3)
PROCESSES = st.integers(0, 2)
KEYS = st.sampled_from(["k1", "k2"])
ANSWERS = st.sampled_from(["arrives", "arrives", "lost", "late", "refused"])


class SharedShard(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.logs = [ShardLog("s", LIMITS) for _ in range(3)]
        self.asked: list[dict[str, str]] = [{}, {}, {}]
        self.given_up: dict[str, str] = {}
        self.late: list[Commit] = []
        self.runs: Counter[str] = Counter()
        self.ran: dict[str, str] = {}
        self.attempts = 0

    @rule(process=PROCESSES, key=KEYS)
    def claim(self, process, key):
        self.attempts += 1
        attempt = f"a{self.attempts}"
        self.asked[process][attempt] = key
        self.logs[process].claim(record(key, attempt))

    @rule(first=PROCESSES, second=PROCESSES, key=KEYS)
    def ask_two_owners_for_one_attempt(self, first, second, key):
        self.attempts += 1
        attempt = f"a{self.attempts}"
        for process in {first, second}:
            self.asked[process][attempt] = key
            self.logs[process].claim(record(key, attempt))

    @rule(process=PROCESSES, answer=ANSWERS)
    def step(self, process, answer):
        log = self.logs[process]
        action = log.next_action(0)
        self.hear(process)
        if isinstance(action, ReadShard) and answer == "arrives":
            log.on_read(self.store.snapshot("s/"), 0)
        elif isinstance(action, Commit):
            self.write(log, action, answer)
        self.hear(process)

    def write(self, log, action, answer):
        match answer:
            case "arrives":
                done = self.store.apply(action.compares, action.puts)
                log.on_committed(self.store.revision, 0) if done else log.on_conflict()
            case "lost":
                self.store.apply(action.compares, action.puts)
                log.on_answer_lost()
            case "late":
                self.late.append(action)
                log.on_answer_lost()
            case "refused":
                log.on_unavailable()

    @precondition(lambda self: self.late)
    @rule(index=st.integers(0, 20))
    def a_late_write_takes_effect(self, index):
        action = self.late.pop(index % len(self.late))
        self.store.apply(action.compares, action.puts)

    @rule(process=PROCESSES)
    def crash(self, process):
        self.logs[process] = ShardLog("s", LIMITS)
        self.asked[process] = {}

    @rule(process=PROCESSES)
    def give_up(self, process):
        for attempt, key in list(self.asked[process].items()):
            if attempt in self.ran:
                continue
            self.given_up[attempt] = key
            for asked, log in zip(self.asked, self.logs, strict=True):
                if asked.pop(attempt, None) is not None:
                    log.abandon(attempt)

    @rule(process=PROCESSES)
    def an_answer_came_too_late_and_the_attempt_asks_again(self, process):
        for attempt, key in list(self.asked[process].items()):
            self.logs[process].abandon(attempt)
            self.logs[process].claim(record(key, attempt))

    @precondition(lambda self: self.given_up)
    @rule(process=PROCESSES, index=st.integers(0, 20))
    def release_what_was_given_up(self, process, index):
        attempt, key = list(self.given_up.items())[index % len(self.given_up)]
        self.logs[process].settle(replace(record(key, attempt), state=ClaimState.RELEASED))

    @precondition(lambda self: self.ran)
    @rule(process=PROCESSES, index=st.integers(0, 20), kept=st.booleans())
    def settle(self, process, index, kept):
        attempt, key = list(self.ran.items())[index % len(self.ran)]
        result = StoredResult(200, [], attempt.encode()) if kept else None
        done = replace(record(key, attempt), state=ClaimState.RAN, result=result)
        self.logs[process].settle(done)

    def hear(self, process):
        for attempt, decision in self.logs[process].pop_decisions():
            key = self.asked[process].pop(attempt, None)
            if isinstance(decision, Granted) and key is not None and attempt not in self.ran:
                self.runs[key] += 1
                self.ran[attempt] = key

    @invariant()
    def no_key_runs_twice(self):
        assert all(count == 1 for count in self.runs.values()), self.runs


SharedShard.TestCase.settings = settings(max_examples=example_count(150), stateful_step_count=60)
TestSharedShard = SharedShard.TestCase
