"""State machine test: the invariants of admission hold for any order of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bluebellrun.admission import AdmissionSettings, FairAdmission, PriorityTarget, Work

LIMIT = 3
MAX_WAITING = 6
TARGETS = [PriorityTarget(1, 1.0, 1.0), PriorityTarget(6, 5.0, 1.0, floor=0.2)]


class AdmissionMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        bounds = AdmissionSettings(LIMIT, MAX_WAITING, learn_concurrency=False)
        self.admission = FairAdmission(bounds)
        self.admission.update_targets(TARGETS)
        self.now = 0.0
        self.offered = 0
        self.waiting: set[str] = set()
        self.running: dict[str, Work] = {}
        self.ended: set[str] = set()

    def refuse(self, attempt: str) -> None:
        assert attempt in self.waiting
        self.waiting.remove(attempt)
        self.ended.add(attempt)

    @rule(
        customer=st.sampled_from("abc"),
        priority=st.sampled_from([1, 3, 6]),
        tokens=st.integers(1, 60),
        budget_s=st.floats(0.01, 10),
        elsewhere=st.floats(0, 100),
        share=st.sampled_from([0.5, 1.0, 3.0]),
    )
    def offer(
        self,
        customer: str,
        priority: int,
        tokens: int,
        budget_s: float,
        elsewhere: float,
        share: float,
    ) -> None:
        self.offered += 1
        attempt = f"a{self.offered}"
        work = Work(
            attempt,
            customer,
            priority,
            self.now,
            self.now + budget_s,
            share=share,
            max_tokens=tokens,
            served_elsewhere=elsewhere,
        )
        if self.admission.offer(work, self.now) is None:
            self.waiting.add(attempt)
        else:
            self.ended.add(attempt)
        self.expire()

    @rule()
    def start(self) -> None:
        had_free_capacity = len(self.running) < LIMIT
        waited = bool(self.waiting)
        work = self.admission.start_next(self.now)
        assert (work is not None) == (had_free_capacity and waited), (
            "idle capacity while work waits"
        )
        if work is not None:
            assert work.attempt in self.waiting
            assert work.deadline > self.now
            self.waiting.remove(work.attempt)
            self.running[work.attempt] = work

    @rule(index=st.integers(0, 10), tokens=st.integers(0, 60))
    def finish(self, index: int, tokens: int) -> None:
        if self.running:
            attempt = sorted(self.running)[index % len(self.running)]
            self.admission.finish(self.running.pop(attempt), tokens, self.now)
            self.ended.add(attempt)

    @rule(index=st.integers(0, 10))
    def withdraw(self, index: int) -> None:
        if self.waiting:
            attempt = sorted(self.waiting)[index % len(self.waiting)]
            assert self.admission.withdraw(attempt)
            assert not self.admission.withdraw(attempt)
            self.refuse(attempt)

    @rule(seconds=st.floats(0.001, 3))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.expire()

    def expire(self) -> None:
        for refusal in self.admission.expire(self.now):
            self.refuse(refusal.work.attempt)

    @rule()
    def drain(self) -> None:
        for work in self.admission.drain():
            self.refuse(work.attempt)
        assert self.admission.waiting == 0

    @invariant()
    def accounts_agree(self) -> None:
        assert self.admission.waiting == len(self.waiting) <= MAX_WAITING
        assert self.admission.running == len(self.running) <= LIMIT
        assert not self.ended & (self.waiting | self.running.keys())
        assert (self.admission.waiting_cost > 0) == bool(self.waiting)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(max_examples=60, stateful_step_count=40)
