"""Stateful test of several processes on one shard.

No key may run twice despite late writes, lost answers, pauses, crashes and compaction.
"""

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
        self.pending: list[dict[str, str]] = [{}, {}, {}]
        self.abandoned: dict[str, str] = {}
        self.late_writes: list[Commit] = []
        self.runs: Counter[str] = Counter()
        self.ran: dict[str, str] = {}
        self.attempts = 0

    @rule(process=PROCESSES, key=KEYS)
    def claim(self, process, key):
        self.attempts += 1
        attempt = f"a{self.attempts}"
        self.pending[process][attempt] = key
        self.logs[process].claim(record(key, attempt))

    @rule(first=PROCESSES, second=PROCESSES, key=KEYS)
    def claim_one_attempt_at_two_owners(self, first, second, key):
        self.attempts += 1
        attempt = f"a{self.attempts}"
        for process in {first, second}:
            self.pending[process][attempt] = key
            self.logs[process].claim(record(key, attempt))

    @rule(process=PROCESSES, answer=ANSWERS)
    def step(self, process, answer):
        log = self.logs[process]
        action = log.next_action(0)
        self.process_decisions(process)
        if isinstance(action, ReadShard) and answer == "arrives":
            log.on_read(self.store.snapshot("s/"), 0)
        elif isinstance(action, Commit):
            self.write(log, action, answer)
        self.process_decisions(process)

    def write(self, log, action, answer):
        match answer:
            case "arrives":
                done = self.store.apply(action.compares, action.puts)
                log.on_committed(self.store.revision, 0) if done else log.on_conflict()
            case "lost":
                self.store.apply(action.compares, action.puts)
                log.on_answer_lost()
            case "late":
                self.late_writes.append(action)
                log.on_answer_lost()
            case "refused":
                log.on_unavailable()

    @precondition(lambda self: self.late_writes)
    @rule(index=st.integers(0, 20))
    def apply_late_write(self, index):
        action = self.late_writes.pop(index % len(self.late_writes))
        self.store.apply(action.compares, action.puts)

    @rule(process=PROCESSES)
    def crash(self, process):
        self.logs[process] = ShardLog("s", LIMITS)
        self.pending[process] = {}

    @rule(process=PROCESSES)
    def abandon_claims(self, process):
        for attempt, key in list(self.pending[process].items()):
            if attempt in self.ran:
                continue
            self.abandoned[attempt] = key
            for pending, log in zip(self.pending, self.logs, strict=True):
                if pending.pop(attempt, None) is not None:
                    log.abandon(attempt)

    @rule(process=PROCESSES)
    def abandon_and_claim_again(self, process):
        for attempt, key in list(self.pending[process].items()):
            self.logs[process].abandon(attempt)
            self.logs[process].claim(record(key, attempt))

    @precondition(lambda self: self.abandoned)
    @rule(process=PROCESSES, index=st.integers(0, 20))
    def release_abandoned(self, process, index):
        attempt, key = list(self.abandoned.items())[index % len(self.abandoned)]
        self.logs[process].settle(replace(record(key, attempt), state=ClaimState.RELEASED))

    @precondition(lambda self: self.ran)
    @rule(process=PROCESSES, index=st.integers(0, 20), stored=st.booleans())
    def settle(self, process, index, stored):
        attempt, key = list(self.ran.items())[index % len(self.ran)]
        result = StoredResult(200, [], attempt.encode()) if stored else None
        done = replace(record(key, attempt), state=ClaimState.RAN, result=result)
        self.logs[process].settle(done)

    def process_decisions(self, process):
        for attempt, decision in self.logs[process].pop_decisions():
            key = self.pending[process].pop(attempt, None)
            if isinstance(decision, Granted) and key is not None and attempt not in self.ran:
                self.runs[key] += 1
                self.ran[attempt] = key

    @invariant()
    def no_key_runs_twice(self):
        assert all(count == 1 for count in self.runs.values()), self.runs


SharedShard.TestCase.settings = settings(max_examples=example_count(150), stateful_step_count=60)
TestSharedShard = SharedShard.TestCase
