"""The agent: admits work, runs it at its upstream and relays the answers."""

from typing import Any

import curio

from bluebellrun.admission import AdmissionPolicy, Work
from bluebellrun.agent._execution import Execution, ExecutionState
from bluebellrun.agent._session import Session
from bluebellrun.agent._settings import AgentSettings
from bluebellrun.agent._steps import StepTime
from bluebellrun.agent._work import make_targets, make_work
from bluebellrun.core import Clock, Incarnation, invariants
from bluebellrun.declarations import Configuration
from bluebellrun.engines import (
    EngineError,
    NothingSentError,
    RequestDeclinedError,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from bluebellrun.membership import Departures
from bluebellrun.messages import Hello, Load, Submit
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import Metrics, get_logger
from bluebellrun.transport import Headers, end_to_end

EXPIRE_INTERVAL_S = 0.02
DECLINED_RETRY_S = 0.5

_log = get_logger("agent")


class Agent:
    """The state of one agent."""

    def __init__(
        self,
        settings: AgentSettings,
        incarnation: Incarnation,
        admission: AdmissionPolicy,
        client: UpstreamClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._admission = admission
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._executions: dict[str, Execution] = {}
        self._sessions: dict[str, Session] = {}
        self._tasks: dict[str, Any] = {}
        self._open_sessions: set[Session] = set()
        self._stopping = False
        self._told_to_drain = False
        self._host_leaving = False
        self._step_time = StepTime()
        self._idle = curio.Event()

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return self._stopping or self._told_to_drain or self._host_leaving

    @property
    def held(self) -> int:
        """Return how many attempts are not settled."""
        return len(self._executions)

    @property
    def incarnation(self) -> Incarnation:
        """Return the id of this life of the process."""
        return self._incarnation

    def hello(self) -> Hello:
        """Return the event that introduces this agent."""
        window = self._settings.answer_window_bytes
        return Hello(self._settings.name, self._incarnation, self.draining, window)

    def load(self) -> Load:
        """Return the present load."""
        return Load(
            waiting=self._admission.waiting,
            running=self._admission.running,
            waiting_tokens=self._admission.waiting_cost,
            limit=self._admission.limit,
            step_s=round(self._step_time.seconds, 4),
            draining=self.draining,
        )

    async def serve_session(self, call: Any) -> None:
        """Serve one entry's exchange call."""
        session = Session(self, call, self._settings.flush_interval_s)
        self._open_sessions.add(session)
        try:
            await session.run()
        finally:
            self._open_sessions.discard(session)

    async def submit(self, submit: Submit, session: Session) -> Execution:
        """Take a request: queue it or refuse it."""
        now = self._clock.now()
        work = make_work(submit, now)
        execution = Execution(submit, work, self._settings.answer_window_bytes)
        reason = self._reason_to_refuse(submit)
        if reason is not None:
            self._metrics.count("agent.refused")
            execution.refuse(reason, None)
            return execution
        self._executions[submit.attempt] = execution
        self._sessions[submit.attempt] = session
        refusal = self._admission.offer(work, now)
        if refusal is not None:
            self._metrics.count("agent.refused")
            execution.refuse(refusal.reason, refusal.retry_after_s)
            return execution
        await self._refuse_hopeless()
        await self._start_work()
        return execution

    async def cancel(self, execution: Execution, reason: str) -> None:
        """Stop an attempt whose answer is no longer wanted."""
        if self._admission.withdraw(execution.attempt):
            execution.refuse(f"cancelled: {reason}", None)
            return
        task = self._tasks.get(execution.attempt)
        if task is not None and execution.state is ExecutionState.RUNNING:
            execution.fail(f"cancelled: {reason}")
            await task.cancel(blocking=False)

    def forget(self, execution: Execution) -> None:
        """Drop a settled attempt."""
        self._executions.pop(execution.attempt, None)
        self._sessions.pop(execution.attempt, None)

    async def forget_session(self, executions: list[Execution]) -> None:
        """Stop the attempts of an entry whose link is gone."""
        for execution in executions:
            if not execution.ended:
                await self.cancel(execution, "the link to the entry is gone")
            self.forget(execution)

    async def apply_configuration(self, configuration: Configuration) -> None:
        """Follow a new configuration: drain when it says so."""
        self._admission.follow_targets(make_targets(configuration))
        upstream = configuration.upstream(self._settings.name)
        draining = upstream is not None and not upstream.takes_work
        if draining != self._told_to_drain:
            self._told_to_drain = draining
            _log.info("drain changed", draining=draining, version=configuration.version)
        if draining:
            await self._hand_back("the upstream is draining")
        await self._wake_sessions()

    async def apply_departures(self, departures: Departures) -> None:
        """Drain when the platform says that this host is leaving."""
        leaving = departures.includes(self._settings.host)
        if leaving == self._host_leaving:
            return
        self._host_leaving = leaving
        _log.info("host leaving changed", leaving=leaving, host=self._settings.host)
        if leaving:
            await self._hand_back("the host is leaving")
        await self._wake_sessions()

    async def run(self) -> None:
        """Refuse waiting work that can no longer be on time, for ever."""
        while True:
            await curio.sleep(EXPIRE_INTERVAL_S)
            await self._refuse_hopeless()

    async def stop(self) -> None:
        """Refuse new work, hand back what waits and wait for what runs."""
        self._stopping = True
        _log.info("stopping", running=self._admission.running, waiting=self._admission.waiting)
        await self._hand_back("the agent is stopping")
        await self._wake_sessions()
        while self._executions:
            await curio.sleep(EXPIRE_INTERVAL_S)

    def _reason_to_refuse(self, submit: Submit) -> str | None:
        """Return why a request cannot be taken, or none."""
        if submit.incarnation != self._incarnation:
            return "sent to an earlier life of this agent"
        if self.draining:
            return "the upstream is draining"
        if submit.attempt in self._executions:
            return "this attempt has been taken already"
        if len(self._executions) >= self._settings.max_answers:
            return "the agent holds as many requests as it may"
        return None

    async def _start_work(self) -> None:
        """Start as much work as admission allows."""
        while (work := self._admission.start_next(self._clock.now())) is not None:
            execution = self._executions[work.attempt]
            waiting = execution.state is ExecutionState.WAITING
            invariants.check(waiting, "work starts once", attempt=work.attempt)
            execution.start()
            execution.work = work
            self._tasks[work.attempt] = await spawn_background(self._run, execution)

    async def _run(self, execution: Execution) -> None:
        """Run one request at the upstream and relay its answer."""
        work = execution.work
        tokens = 0
        try:
            remaining_s = max(0.0, work.deadline - self._clock.now())
            async with curio.timeout_after(remaining_s):
                tokens = await self._relay(execution)
        except curio.TaskTimeout:
            execution.fail("its deadline passed while it ran")
        except (NothingSentError, RequestDeclinedError) as error:
            execution.refuse(str(error), DECLINED_RETRY_S)
        except EngineError as error:
            execution.fail(str(error))
        finally:
            if not execution.ended:
                execution.fail("the agent failed while it ran")
            self._tasks.pop(work.attempt, None)
            self._admission.finish(work, tokens, self._clock.now())
            self._metrics.count(f"agent.{execution.state}")
            await self._start_work()
            await self._wake(execution)

    async def _relay(self, execution: Execution) -> int:
        """Send the request and collect its answer; return the tokens that passed."""
        sent = self._clock.now()
        answer = await self._client.open(_upstream_request(execution))
        try:
            execution.head(answer.status, end_to_end(answer.headers))
            await self._relay_body(execution, answer, sent)
        finally:
            await answer.close()
        execution.complete()
        return answer.tokens

    async def _relay_body(self, execution: Execution, answer: UpstreamAnswer, sent: float) -> None:
        """Collect the body piece by piece and learn the times to and between pieces."""
        last: float | None = None
        while data := await answer.read():
            now = self._clock.now()
            if last is None:
                self._admission.observe_first_token(execution.work, now - sent, now)
            else:
                self._step_time.observe(now - last)
                self._admission.observe_step(now - last, now)
            last = now
            await execution.append(data)
            await self._wake(execution)

    async def _refuse_hopeless(self) -> None:
        """Refuse waiting work that can no longer be on time or has lost its place."""
        for refusal in self._admission.expire(self._clock.now()):
            await self._refuse_waiting(refusal.work, refusal.reason, refusal.retry_after_s)

    async def _refuse_waiting(self, work: Work, reason: str, retry_after_s: float | None) -> None:
        """Tell an entry that waiting work will not run."""
        execution = self._executions.get(work.attempt)
        if execution is not None:
            self._metrics.count("agent.refused")
            execution.refuse(reason, retry_after_s)
            await self._wake(execution)

    async def _hand_back(self, reason: str) -> None:
        """Give all waiting work back to the entries as not run."""
        for work in self._admission.drain():
            await self._refuse_waiting(work, reason, None)

    async def _wake(self, execution: Execution) -> None:
        """Let the session of an attempt tell its news."""
        session = self._sessions.get(execution.attempt)
        if session is not None:
            await session.wake()

    async def _wake_sessions(self) -> None:
        """Let all sessions tell the load."""
        for session in list(self._open_sessions):
            await session.wake()


def _upstream_request(execution: Execution) -> UpstreamRequest:
    """Return the request as the upstream gets it."""
    submit, told = execution.submit, execution.work.engine_priority
    headers: Headers = [
        (name, value)
        for name, value in end_to_end(submit.headers)
        if name not in ("host", "content-length", "authorization", "x-request-id", "priority")
    ]
    return UpstreamRequest(
        attempt=submit.attempt,
        method=submit.method,
        target=submit.target,
        headers=headers,
        body=submit.body,
        priority=submit.priority if told is None else told,
    )
