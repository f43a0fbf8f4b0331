"""Tests of the agent without sockets, with a fake upstream, fake sessions and a fake store."""

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
        self._chunks = [b"done"]

    async def read(self) -> bytes:
        await self._upstream.gate.wait()
        return self._chunks.pop() if self._chunks else b""

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
        self.released: list[str] = []

    async def wake(self) -> None:
        pass

    def release_attempt(self, attempt: str) -> None:
        self.released.append(attempt)


class AgentHarness:
    created: ClassVar[list["AgentHarness"]] = []

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
        AgentHarness.created.append(self)

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
        raise AssertionError("the attempt did not end within 2 s")


def run_scenario(scenario):
    """Run a scenario, then abort the work that it left running."""

    async def main():
        AgentHarness.created.clear()
        result = await scenario()
        for harness in AgentHarness.created:
            harness.store.down, harness.store.lose_next = False, 0
            await harness.agent.abort()
            while harness.agent.claims.unwritten:
                await curio.sleep(0.01)
        return result

    return curio.run(main)


def query(attempt: str, incarnation: str = INCARNATION, withdraw: bool = False) -> FateQuery:
    return FateQuery(attempt, incarnation, 0.1, withdraw)


def last_event(execution):
    return execution.collect_events()[-1]


def test_attempt_reported_not_run_is_refused_when_it_arrives_later():
    async def main():
        harness = AgentHarness()
        assert harness.agent.fate(query("r.1")).fate is Fate.NOT_RUN
        return harness, await harness.submit("r.1")

    harness, late = run_scenario(main)
    assert isinstance(last_event(late), Refused)
    assert harness.upstream.opened == []


def test_attempts_of_an_earlier_incarnation_are_unknown_and_refused():
    async def main():
        harness = AgentHarness()
        return harness.agent.fate(query("r.1", "life-1")), await harness.submit(
            "r.1", incarnation="x"
        )

    answer, refused = run_scenario(main)
    assert answer.fate is Fate.UNKNOWN
    assert refused.state is ExecutionState.REFUSED


def test_duplicate_request_runs_once():
    async def main():
        harness = AgentHarness()
        first = await harness.submit("r.1")
        assert await harness.submit("r.1") is None
        await harness.finish(first)
        first.collect_events()
        harness.agent.forget(first)
        assert await harness.submit("r.1") is None
        return harness

    assert run_scenario(main).upstream.opened == ["r.1"]


def test_attempt_of_a_lost_link_is_resumed_on_another():
    async def main():
        harness = AgentHarness()
        execution = await harness.submit("r.1")
        harness.agent.keep_for_resume([execution])
        second = RecordingSession()
        resumed = await harness.agent.resume(Resume("r.1", INCARNATION, 0, 0.1), second)
        await harness.finish(execution)
        return execution, resumed

    execution, resumed = run_scenario(main)
    assert resumed is execution
    assert execution.state is ExecutionState.COMPLETE


def test_resume_of_an_attempt_never_received_reports_not_run():
    async def main():
        harness = AgentHarness()
        return await harness.agent.resume(Resume("r.1", INCARNATION, 0, 0.1), harness.session)

    answer = run_scenario(main)
    assert isinstance(answer, FateAnswer)
    assert answer.fate is Fate.NOT_RUN


def test_waiting_attempt_can_be_withdrawn_and_running_one_cannot():
    async def main():
        harness = AgentHarness()
        await harness.submit("r.1")
        await harness.submit("q.1")
        waiting = await harness.agent.answer_fate(query("q.1", withdraw=True))
        running = await harness.agent.answer_fate(query("r.1", withdraw=True))
        return waiting.fate, running.fate

    assert run_scenario(main) == (Fate.NOT_RUN, Fate.RUNNING)


def test_waiting_work_of_a_lost_entry_is_refused_instead_of_started():
    async def main():
        harness = AgentHarness()
        running = await harness.submit("r.1")
        waiting = await harness.submit("q.1")
        harness.agent.keep_for_resume([waiting])
        await harness.finish(running)
        await curio.sleep(0.05)
        answer = await harness.agent.resume(Resume("q.1", INCARNATION, 0, 0.1), harness.session)
        return harness.upstream.opened, answer

    opened, answer = run_scenario(main)
    assert opened == ["r.1"]
    assert answer.fate is Fate.NOT_RUN


def test_attempts_not_resumed_in_time_are_removed():
    async def main():
        harness = AgentHarness(resume_grace_s=0.05)
        task = await curio.spawn(harness.agent.run, daemon=True)
        execution = await harness.submit("r.1", repeatable=True)
        harness.agent.keep_for_resume([execution])
        await curio.sleep(0.3)
        await task.cancel()
        return harness.agent.unsettled

    assert run_scenario(main) == 0


def test_request_with_key_is_not_sent_before_its_claim_is_stored():
    async def main():
        harness = AgentHarness(FakeStore(down=True), claim_timeout_s=0.1)
        execution = await harness.submit("r.1", idempotency_key="k")
        sent_while_down = list(harness.upstream.opened)
        await harness.finish(execution)
        return sent_while_down, harness.upstream.opened, execution

    sent_while_down, opened, execution = run_scenario(main)
    assert (sent_while_down, opened) == ([], [])
    assert last_event(execution).retry_after_s is not None


def test_key_of_a_request_never_sent_is_released():
    async def main():
        harness = AgentHarness()
        harness.upstream.unreachable = True
        refused = await harness.submit("r.1", idempotency_key="k")
        await harness.finish(refused)
        harness.upstream.unreachable = False
        second = await harness.submit("q.1", idempotency_key="k")
        await harness.finish(second)
        return refused.state, second.state

    assert run_scenario(main) == (ExecutionState.REFUSED, ExecutionState.COMPLETE)


def test_repeated_key_gets_the_stored_answer_without_a_second_run():
    async def main():
        harness = AgentHarness()
        first = await harness.submit("r.1", idempotency_key="k")
        await harness.finish(first)
        second = await harness.submit("q.1", idempotency_key="k")
        await harness.finish(second)
        return harness.upstream.opened, second.result().body

    assert run_scenario(main) == (["r.1"], b"done")


def test_key_of_an_unfinished_run_of_a_failed_agent_stays_unsettled():
    async def main():
        store = FakeStore()
        failed = AgentHarness(store)
        await failed.submit("r.1", idempotency_key="k")
        successor = AgentHarness(store, claim_wait_s=0.0)
        successor.agent.claims.set_fate_source(lambda query: FateAnswer(Fate.UNKNOWN, "restarted"))
        second = await successor.submit("q.1", idempotency_key="k")
        await successor.finish(second)
        return successor.upstream.opened, last_event(second)

    opened, event = run_scenario(main)
    assert opened == []
    assert isinstance(event, Repeated)
    assert not event.finished


def test_stop_refuses_waiting_work_and_completes_running_work():
    async def main():
        harness = AgentHarness()
        running = await harness.submit("r.1", idempotency_key="k")
        waiting = await harness.submit("q.1")
        stopping = await curio.spawn(harness.agent.stop)
        await curio.sleep(0.05)
        waiting_state = waiting.state
        late = await harness.submit("l.1")
        await harness.finish(running)
        for execution in (running, waiting):
            execution.collect_events()
            await execution.confirm(running.received_bytes)
            harness.agent.forget(execution)
        await stopping.join()
        return waiting_state, late.state, running.state, harness.agent.claims.unwritten

    refused, complete = ExecutionState.REFUSED, ExecutionState.COMPLETE
    assert run_scenario(main) == (refused, refused, complete, 0)


def test_random_requests_with_an_unreliable_store_never_run_a_key_twice():
    async def main():
        random = Random(7)
        store = FakeStore()
        harnesses = [AgentHarness(store, claim_timeout_s=0.05, claim_wait_s=0.0) for _ in range(3)]
        for harness in harnesses:
            await harness.upstream.gate.set()
        for number in range(60):
            store.down = random.random() < 0.2
            store.lose_next = random.choice([0, 0, 1, 2])
            harness = random.choice(harnesses)
            await harness.submit(f"r{number}.1", idempotency_key=f"k{number % 8}")
        return [attempt for harness in harnesses for attempt in harness.upstream.opened]

    opened = run_scenario(main)
    keys = [int(attempt[1:].partition(".")[0]) % 8 for attempt in opened]
    assert sorted(keys) == sorted(set(keys))
    assert len(keys) >= 4
