"""The agent without sockets: a scripted upstream, recorded sessions, a store in memory."""

from random import Random
from typing import ClassVar

import curio

from bluebellrun.admission import AdmissionSettings, make_admission
from bluebellrun.agent._agent import Agent
from bluebellrun.agent._claim_wiring import make_claims
from bluebellrun.agent._execution import ExecutionState
from bluebellrun.agent._settings import AgentSettings
from bluebellrun.core import Incarnation, MonotonicClock
from bluebellrun.engines import RequestNotSentError
from bluebellrun.messages import Fate, FateAnswer, FateQuery, Refused, Repeated, Resume, Submit
from bluebellrun.telemetry import Metrics
from tests.ledger.fakes import FakeStore

INCARNATION = Incarnation("life-2")


class ScriptedAnswer:
    status = 200
    headers = (("content-type", "text/plain"),)
    tokens = 0

    def __init__(self, upstream: "ScriptedUpstream") -> None:
        self._upstream = upstream
        self._pieces = [b"done"]

    async def read(self) -> bytes:
        await self._upstream.gate.wait()
        return self._pieces.pop() if self._pieces else b""

    async def close(self) -> None:
        pass


class ScriptedUpstream:
    def __init__(self) -> None:
        self.gate = curio.Event()
        self.opened: list[str] = []
        self.unreachable = False

    async def open(self, request) -> ScriptedAnswer:
        if self.unreachable:
            raise RequestNotSentError("refused")
        self.opened.append(request.attempt)
        return ScriptedAnswer(self)

    async def resume(self, attempt, offset, broken):
        return None

    async def cancel(self, attempt) -> None:
        pass


class RecordingSession:
    def __init__(self) -> None:
        self.left: list[str] = []

    async def wake(self) -> None:
        pass

    def release_attempt(self, attempt: str) -> None:
        self.left.append(attempt)


class AgentHarness:
    made: ClassVar[list["AgentHarness"]] = []

    def __init__(self, store: FakeStore | None = None, **changes: object) -> None:
        values = {"name": "a", "service": "s", "store": "127.0.0.1:1", "upstream": "127.0.0.1:2"}
        self.settings = AgentSettings(**(values | changes))
        self.store = store or FakeStore()
        self.upstream = ScriptedUpstream()
        clock = MonotonicClock()
        self.agent = Agent(
            settings=self.settings,
            incarnation=INCARNATION,
            admission=make_admission("fifo", AdmissionSettings(concurrency=1)),
            client=self.upstream,
            claims=make_claims(self.settings, INCARNATION, self.store, clock),
            clock=clock,
            metrics=Metrics(None, "test"),
        )
        self.session = RecordingSession()
        AgentHarness.made.append(self)

    async def submit(self, attempt: str, **changes: object):
        fields = {
            "attempt": attempt,
            "request": attempt.partition(".")[0],
            "incarnation": INCARNATION,
            "customer": "c",
            "service": "s",
            "priority": 3,
            "method": "POST",
            "target": "/",
            "headers": [],
            "body": b"1",
            "repeatable": False,
            "budget_s": 10.0,
        }
        execution = await self.agent.submit(Submit(**(fields | changes)), self.session)
        await curio.sleep(0.02)
        return execution

    async def finish(self, execution):
        await self.upstream.gate.set()
        for _ in range(200):
            if execution.ended:
                return
            await curio.sleep(0.01)
        raise AssertionError("the attempt does not end")


def play(scenario):
    """Run a scenario, then end what it left running."""

    async def main():
        AgentHarness.made.clear()
        result = await scenario()
        for bench in AgentHarness.made:
            bench.store.down, bench.store.lose_next = False, 0
            await bench.agent.abort()
            while bench.agent.claims.unwritten:
                await curio.sleep(0.01)
        return result

    return curio.run(main)


def query(attempt: str, life: str = INCARNATION, withdraw: bool = False) -> FateQuery:
    return FateQuery(attempt, life, 0.1, withdraw)


def last_event(execution):
    return execution.collect_events()[-1]


def test_an_attempt_declared_not_run_is_refused_when_it_arrives_late():
    async def main():
        bench = AgentHarness()
        assert bench.agent.fate(query("r.1")).fate is Fate.NOT_RUN
        return bench, await bench.submit("r.1")

    bench, late = play(main)
    assert isinstance(last_event(late), Refused)
    assert bench.upstream.opened == []


def test_an_earlier_life_of_the_agent_is_not_spoken_for():
    async def main():
        bench = AgentHarness()
        return bench.agent.fate(query("r.1", "life-1")), await bench.submit("r.1", incarnation="x")

    answer, refused = play(main)
    assert answer.fate is Fate.UNKNOWN
    assert refused.state is ExecutionState.REFUSED


def test_a_request_that_arrives_twice_runs_once():
    async def main():
        bench = AgentHarness()
        first = await bench.submit("r.1")
        assert await bench.submit("r.1") is None
        await bench.finish(first)
        first.collect_events()
        bench.agent.forget(first)
        assert await bench.submit("r.1") is None
        return bench

    assert play(main).upstream.opened == ["r.1"]


def test_an_attempt_outlives_its_link_and_is_resumed_on_another():
    async def main():
        bench = AgentHarness()
        execution = await bench.submit("r.1")
        bench.agent.keep_for_resume([execution])
        second = RecordingSession()
        resumed = await bench.agent.resume(Resume("r.1", INCARNATION, 0, 0.1), second)
        await bench.finish(execution)
        return execution, resumed

    execution, resumed = play(main)
    assert resumed is execution
    assert execution.state is ExecutionState.COMPLETE


def test_a_resumed_attempt_that_never_arrived_is_not_run():
    async def main():
        bench = AgentHarness()
        return await bench.agent.resume(Resume("r.1", INCARNATION, 0, 0.1), bench.session)

    answer = play(main)
    assert isinstance(answer, FateAnswer)
    assert answer.fate is Fate.NOT_RUN


def test_a_waiting_attempt_can_be_withdrawn_and_a_running_order_cannot():
    async def main():
        bench = AgentHarness()
        await bench.submit("r.1")
        await bench.submit("q.1")
        waiting = await bench.agent.answer_fate(query("q.1", withdraw=True))
        running = await bench.agent.answer_fate(query("r.1", withdraw=True))
        return waiting.fate, running.fate

    assert play(main) == (Fate.NOT_RUN, Fate.RUNNING)


def test_waiting_work_of_a_lost_entry_is_not_run_when_its_turn_comes():
    async def main():
        bench = AgentHarness()
        running = await bench.submit("r.1")
        waiting = await bench.submit("q.1")
        bench.agent.keep_for_resume([waiting])
        await bench.finish(running)
        await curio.sleep(0.05)
        answer = await bench.agent.resume(Resume("q.1", INCARNATION, 0, 0.1), bench.session)
        return bench.upstream.opened, answer

    opened, answer = play(main)
    assert opened == ["r.1"]
    assert answer.fate is Fate.NOT_RUN


def test_an_entry_that_does_not_come_back_leaves_nothing_behind():
    async def main():
        bench = AgentHarness(resume_grace_s=0.05)
        task = await curio.spawn(bench.agent.run, daemon=True)
        execution = await bench.submit("r.1", repeatable=True)
        bench.agent.keep_for_resume([execution])
        await curio.sleep(0.3)
        await task.cancel()
        return bench.agent.unsettled

    assert play(main) == 0


def test_a_keyed_order_is_sent_only_after_its_claim_is_stored():
    async def main():
        bench = AgentHarness(FakeStore(down=True), claim_timeout_s=0.1)
        execution = await bench.submit("r.1", idempotency_key="k")
        sent_while_down = list(bench.upstream.opened)
        await bench.finish(execution)
        return sent_while_down, bench.upstream.opened, execution

    sent_while_down, opened, execution = play(main)
    assert (sent_while_down, opened) == ([], [])
    assert last_event(execution).retry_after_s is not None


def test_a_key_whose_request_never_left_is_free_again():
    async def main():
        bench = AgentHarness()
        bench.upstream.unreachable = True
        refused = await bench.submit("r.1", idempotency_key="k")
        await bench.finish(refused)
        bench.upstream.unreachable = False
        second = await bench.submit("q.1", idempotency_key="k")
        await bench.finish(second)
        return refused.state, second.state

    assert play(main) == (ExecutionState.REFUSED, ExecutionState.COMPLETE)


def test_a_repeated_key_gets_the_kept_answer_and_no_second_run():
    async def main():
        bench = AgentHarness()
        first = await bench.submit("r.1", idempotency_key="k")
        await bench.finish(first)
        second = await bench.submit("q.1", idempotency_key="k")
        await bench.finish(second)
        return bench.upstream.opened, second.result().body

    assert play(main) == (["r.1"], b"done")


def test_a_key_of_a_dead_agents_unfinished_run_stays_unknown():
    async def main():
        store = FakeStore()
        dead = AgentHarness(store)
        await dead.submit("r.1", idempotency_key="k")
        heir = AgentHarness(store, claim_wait_s=0.0)
        heir.agent.claims.set_fate_source(lambda asked: FateAnswer(Fate.UNKNOWN, "restarted"))
        second = await heir.submit("q.1", idempotency_key="k")
        await heir.finish(second)
        return heir.upstream.opened, last_event(second)

    opened, event = play(main)
    assert opened == []
    assert isinstance(event, Repeated)
    assert not event.finished


def test_a_stop_hands_back_what_waits_and_ends_what_runs():
    async def main():
        bench = AgentHarness()
        running = await bench.submit("r.1", idempotency_key="k")
        waiting = await bench.submit("q.1")
        stopping = await curio.spawn(bench.agent.stop)
        await curio.sleep(0.05)
        handed_back = waiting.state
        late = await bench.submit("l.1")
        await bench.finish(running)
        for execution in (running, waiting):
            execution.collect_events()
            await execution.confirm(running.received_bytes)
            bench.agent.forget(execution)
        await stopping.join()
        return handed_back, late.state, running.state, bench.agent.claims.unwritten

    refused, complete = ExecutionState.REFUSED, ExecutionState.COMPLETE
    assert play(main) == (refused, refused, complete, 0)


def test_random_orders_with_a_flaky_store_never_run_a_key_twice():
    async def main():
        random = Random(7)
        store = FakeStore()
        benches = [AgentHarness(store, claim_timeout_s=0.05, claim_wait_s=0.0) for _ in range(3)]
        for bench in benches:
            await bench.upstream.gate.set()
        for number in range(60):
            store.down = random.random() < 0.2
            store.lose_next = random.choice([0, 0, 1, 2])
            bench = random.choice(benches)
            await bench.submit(f"r{number}.1", idempotency_key=f"k{number % 8}")
        return [attempt for bench in benches for attempt in bench.upstream.opened]

    opened = play(main)
    keys = [int(attempt[1:].partition(".")[0]) % 8 for attempt in opened]
    assert sorted(keys) == sorted(set(keys))
    assert len(keys) >= 4
