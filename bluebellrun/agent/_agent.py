"""The agent: admits work, runs it at its upstream and relays the answers."""

from typing import Any

import curio

from bluebellrun.admission import AdmissionPolicy, Work
from bluebellrun.agent._claims import ClaimManager
from bluebellrun.agent._execution import Execution, ExecutionState
from bluebellrun.agent._fates import FateHistory, min_attempt_age_s
from bluebellrun.agent._outcomes import apply_verdict, claim_state_of, fate_of
from bluebellrun.agent._session import Session
from bluebellrun.agent._settings import AgentSettings
from bluebellrun.agent._silence import silence_limit_s
from bluebellrun.agent._steps import StepTimeAverage
from bluebellrun.agent._upstream_relay import UpstreamRelay
from bluebellrun.agent._work import make_targets, make_work
from bluebellrun.core import Clock, Incarnation, invariants
from bluebellrun.declarations import Configuration
from bluebellrun.engines import (
    EngineError,
    RequestDeclinedError,
    RequestNotSentError,
    UpstreamClient,
)
from bluebellrun.ledger import ClaimState, wall_clock_ms
from bluebellrun.membership import Departures
from bluebellrun.messages import Fate, FateAnswer, FateQuery, Hello, Load, Resume, Submit
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import Metrics, get_logger

EXPIRE_INTERVAL_S = 0.02
URGENCIES = 8
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
        claims: ClaimManager,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._admission = admission
        self._client = client
        self._claims = claims
        self._claims.set_fate_source(self.fate)
        self._fates = FateHistory(settings.fate_horizon_s, settings.max_fates, settings.max_fates)
        self._orphans: dict[str, float] = {}
        self._sent_times: dict[str, float] = {}
        self._chunk_times: dict[str, float] = {}
        self._clock = clock
        self._metrics = metrics
        self._executions: dict[str, Execution] = {}
        self._sessions: dict[str, Session] = {}
        self._tasks: dict[str, Any] = {}
        self._open_sessions: set[Session] = set()
        self._stopping = False
        self._drain_requested = False
        self._configuration: Configuration | None = None
        self._host_leaving = False
        self._step_time = StepTimeAverage()
        self._logged_limit = admission.limit

    @property
    def draining(self) -> bool:
        """Return whether new requests are refused."""
        return self._stopping or self._drain_requested or self._host_leaving

    @property
    def unsettled(self) -> int:
        """Return how many attempts are not settled."""
        return len(self._executions)

    @property
    def incarnation(self) -> Incarnation:
        """Return the id of this incarnation of the process."""
        return self._incarnation

    @property
    def claims(self) -> ClaimManager:
        """Return the claim manager."""
        return self._claims

    def hello(self) -> Hello:
        """Return the first event of an exchange call, which identifies this agent."""
        window = self._settings.answer_window_bytes
        return Hello(self._settings.name, self._incarnation, self.draining, window)

    def load(self) -> Load:
        """Return the current load."""
        return Load(
            waiting=self._admission.waiting,
            running=self._admission.running,
            waiting_tokens=self._admission.waiting_cost,
            limit=self._admission.limit,
            step_s=round(self._step_time.seconds, 4),
            draining=self.draining,
            waiting_before=tuple(self._admission.waiting_before(p) for p in range(URGENCIES)),
        )

    async def serve_session(self, call: Any) -> None:
        """Serve one entry's exchange call."""
        session = Session(self, call, self._settings.flush_interval_s)
        self._open_sessions.add(session)
        try:
            await session.run()
        finally:
            self._open_sessions.discard(session)

    async def submit(self, submit: Submit, session: Session) -> Execution | None:
        """Queue or refuse a request; return none for a duplicate of one that is held or has run."""
        known = self._fates.recall(submit.attempt)
        ran = known is not None and known.fate is not Fate.NOT_RUN
        if ran or submit.attempt in self._executions:
            return None
        now = self._clock.now()
        work = make_work(submit, now)
        max_result_bytes = self._settings.ledger_result_bytes if submit.idempotency_key else 0
        execution = Execution(submit, work, self._settings.answer_window_bytes, max_result_bytes)
        reason = self._reason_to_refuse(submit)
        if reason is not None:
            self._metrics.count("agent.refused")
            execution.refuse(reason, None)
            self.forget(execution)
            return execution
        self._executions[submit.attempt] = execution
        self._sessions[submit.attempt] = session
        refusal = self._admission.offer(work, now)
        if refusal is not None:
            self._metrics.count("agent.refused")
            execution.refuse(refusal.reason, refusal.retry_after_s)
            return execution
        await self._refuse_expired()
        await self._start_work()
        return execution

    async def resume(self, resume: Resume, session: Session) -> Execution | FateAnswer:
        """Move an attempt to a new session, or return its fate."""
        execution = self._executions.get(resume.attempt)
        if execution is None or resume.incarnation != self._incarnation:
            return self.fate(FateQuery(resume.attempt, resume.incarnation, resume.age_s))
        if not await execution.resume(resume.offset):
            return FateAnswer(Fate.UNKNOWN, f"its answer is gone before offset {resume.offset}")
        former = self._sessions.get(resume.attempt)
        if former is not None and former is not session:
            former.release_attempt(resume.attempt)
        self._sessions[resume.attempt] = session
        self._orphans.pop(resume.attempt, None)
        return execution

    def fate(self, query: FateQuery) -> FateAnswer:
        """Return the fate of an attempt; one not yet received will be refused from now on."""
        if query.incarnation != self._incarnation:
            return FateAnswer(Fate.UNKNOWN, "the agent has been restarted since")
        execution = self._executions.get(query.attempt)
        if execution is None:
            return self._fates.query_fate(query.attempt, min_attempt_age_s(query, wall_clock_ms()))
        return fate_of(execution)

    async def answer_fate(self, query: FateQuery) -> FateAnswer:
        """Withdraw an attempt if requested and possible, then return its fate."""
        execution = self._executions.get(query.attempt)
        if query.withdraw and execution is not None and not execution.ended:
            await self.cancel(execution, "the entry asked to withdraw it")
        return self.fate(query)

    async def cancel(self, execution: Execution, reason: str) -> None:
        """Stop an attempt whose answer is no longer needed.

        A request that may not be repeated continues once it has been sent: its effect cannot be
        undone, and its outcome is still recorded.
        """
        if execution.ended:
            return
        if self._admission.withdraw(execution.attempt):
            execution.refuse(f"cancelled: {reason}", None)
            return
        if execution.sent and not execution.submit.repeatable:
            await execution.detach()
            return
        task = self._tasks.get(execution.attempt)
        if task is not None and execution.state is ExecutionState.RUNNING:
            if execution.sent:
                execution.fail(f"cancelled: {reason}")
            await task.cancel(blocking=False)

    def forget(self, execution: Execution) -> None:
        """Remove an attempt that has ended and record its fate."""
        invariants.check(execution.ended, "only what ended is forgotten", attempt=execution.attempt)
        self._fates.record(execution.attempt, fate_of(execution))
        self._executions.pop(execution.attempt, None)
        self._sessions.pop(execution.attempt, None)
        self._orphans.pop(execution.attempt, None)

    def keep_for_resume(self, executions: list[Execution]) -> None:
        """Keep the attempts of a lost link so that the entry can resume them."""
        for execution in executions:
            self._sessions.pop(execution.attempt, None)
            self._orphans[execution.attempt] = self._clock.now()

    async def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration and drain if it marks the upstream as draining."""
        self._configuration = configuration
        await self._claims.update_agents(configuration)
        self._admission.update_targets(make_targets(configuration))
        upstream = configuration.upstream(self._settings.name)
        draining = upstream is not None and not upstream.accepts_work
        if draining != self._drain_requested:
            self._drain_requested = draining
            _log.info("drain state changed", draining=draining, version=configuration.version)
        if draining:
            await self._refuse_all_waiting("the upstream is draining")
        await self._wake_sessions()

    async def apply_departures(self, departures: Departures) -> None:
        """Drain while the platform reports that this host is leaving."""
        leaving = departures.includes(self._settings.host)
        if leaving == self._host_leaving:
            return
        self._host_leaving = leaving
        _log.info("host leaving changed", leaving=leaving, host=self._settings.host)
        if leaving:
            await self._refuse_all_waiting("the host is leaving")
        await self._wake_sessions()

    async def run(self) -> None:
        """Refuse expired work, cancel orphans and log limit changes, until cancelled."""
        while True:
            await curio.sleep(EXPIRE_INTERVAL_S)
            now = self._clock.now()
            self._fates.tick(now)
            await self._refuse_expired()
            await self._reap_orphans(now)
            self._report_limit()

    async def stop(self) -> None:
        """Refuse new and waiting work, then wait for running work and ledger writes to finish."""
        self._stopping = True
        _log.info("stopping", running=self._admission.running, waiting=self._admission.waiting)
        await self._refuse_all_waiting("the agent is stopping")
        await self._wake_sessions()
        while self._executions or self._claims.unwritten:
            await curio.sleep(EXPIRE_INTERVAL_S)

    async def abort(self) -> None:
        """Cancel all running work and notify the sessions."""
        for task in list(self._tasks.values()):
            await task.cancel()
        await self._wake_sessions()

    def describe_unsettled(self) -> list[dict[str, str]]:
        """Return the attempt, customer and state of each unsettled attempt."""
        return [
            {
                "attempt": execution.attempt,
                "customer": execution.submit.customer,
                "state": str(execution.state),
            }
            for execution in self._executions.values()
        ]

    async def _reap_orphans(self, now: float) -> None:
        """Cancel the attempts that their entry did not resume within ``resume_grace_s``."""
        for attempt, since in list(self._orphans.items()):
            execution = self._executions.get(attempt)
            if execution is None:
                del self._orphans[attempt]
                continue
            if now - since < self._settings.resume_grace_s:
                continue
            if not execution.ended:
                await self.cancel(execution, "its entry did not come back")
            if execution.ended:
                self.forget(execution)

    def _reason_to_refuse(self, submit: Submit) -> str | None:
        """Return why a request cannot be accepted, or none."""
        if submit.incarnation != self._incarnation:
            return "sent to an earlier life of this agent"
        if self.draining:
            return "the upstream is draining"
        known = self._fates.recall(submit.attempt)
        if known is not None:
            return f"this attempt is over: {known.reason}"
        if len(self._executions) >= self._settings.max_answers:
            return "the agent holds as many requests as it may"
        return None

    async def _start_work(self) -> None:
        """Start as much work as admission allows."""
        while (work := self._admission.start_next(self._clock.now())) is not None:
            execution = self._executions[work.attempt]
            if work.attempt in self._orphans:
                self._refuse_orphan(execution, work)
                continue
            waiting = execution.state is ExecutionState.WAITING
            invariants.check(waiting, "work starts once", attempt=work.attempt)
            execution.start()
            execution.work = work
            self._tasks[work.attempt] = await spawn_background(self._run, execution)

    def _refuse_orphan(self, execution: Execution, work: Work) -> None:
        """Refuse work whose entry has not reconnected, since nobody would receive the answer."""
        execution.refuse("the link to its entry was lost before it ran", None)
        self._admission.finish(work, 0, self._clock.now())
        self.forget(execution)

    async def _run(self, execution: Execution) -> None:
        """Run one request at the upstream and relay its answer."""
        work = execution.work
        tokens = 0
        try:
            remaining_s = max(0.0, work.deadline - self._clock.now())
            async with curio.timeout_after(remaining_s):
                tokens = await self._claim_and_relay(execution)
        except curio.TaskTimeout:
            self._end_unfinished(execution, "its deadline passed while it ran")
        except (RequestNotSentError, RequestDeclinedError) as error:
            await self._claims.release(work.attempt)
            execution.refuse(str(error), DECLINED_RETRY_S)
        except EngineError as error:
            self._end_unfinished(execution, str(error))
        finally:
            self._end_unfinished(execution, "it was cancelled")
            await self._finish_work(execution, tokens)

    async def _claim_and_relay(self, execution: Execution) -> int:
        """Claim the request's idempotency key, if any, then send it; return its token count."""
        if execution.submit.idempotency_key:
            verdict = await self._claims.claim(execution.submit)
            if not await apply_verdict(execution, verdict):
                return 0
        self._sent_times[execution.attempt] = self._clock.now()
        priority, max_silence_s = execution.submit.priority, self._settings.gap_timeout_s
        silence_s = silence_limit_s(self._configuration, priority, max_silence_s)
        relay = UpstreamRelay(self._client, execution, silence_s, self._on_chunk, self._metrics)
        return await relay.run()

    def _end_unfinished(self, execution: Execution, reason: str) -> None:
        """End an unfinished attempt: refused if it was never sent, failed otherwise."""
        if execution.ended:
            return
        if execution.sent:
            execution.fail(reason)
        else:
            execution.refuse(reason, None)

    async def _finish_work(self, execution: Execution, tokens: int) -> None:
        """Settle the claim, free the admission slot and notify the entry."""
        work = execution.work
        self._tasks.pop(work.attempt, None)
        self._chunk_times.pop(work.attempt, None)
        self._sent_times.pop(work.attempt, None)
        if execution.state is ExecutionState.REFUSED:
            await self._claims.settle(work.attempt, ClaimState.RELEASED, None)
        else:
            state = claim_state_of(execution)
            await self._claims.settle(work.attempt, state, execution.result())
        self._admission.finish(work, tokens, self._clock.now())
        self._metrics.count(f"agent.{execution.state}")
        await self._start_work()
        await self._wake(execution)
        if execution.detached and work.attempt in self._orphans:
            self.forget(execution)

    async def _on_chunk(self, execution: Execution) -> None:
        """Record the time since the previous chunk of an answer and notify its entry."""
        now = self._clock.now()
        last = self._chunk_times.get(execution.attempt)
        self._chunk_times[execution.attempt] = now
        if last is None:
            waited_s = now - self._sent_times.get(execution.attempt, now)
            self._admission.observe_first_token(execution.work, waited_s, now)
        else:
            self._step_time.observe(now - last)
            if self._step_time.poll_change():
                await self._wake_sessions()
            self._admission.observe_step(now - last, now)
        await self._wake(execution)

    def _report_limit(self) -> None:
        """Log a change of the concurrency limit."""
        limit = self._admission.limit
        if limit != self._logged_limit:
            _log.info("concurrency limit changed", limit=limit, before=self._logged_limit)
            self._logged_limit = limit

    async def _refuse_expired(self) -> None:
        """Refuse waiting work that admission has expired or displaced."""
        for refusal in self._admission.expire(self._clock.now()):
            await self._refuse_waiting(refusal.work, refusal.reason, refusal.retry_after_s)

    async def _refuse_waiting(self, work: Work, reason: str, retry_after_s: float | None) -> None:
        """Refuse waiting work and notify its entry."""
        execution = self._executions.get(work.attempt)
        if execution is not None:
            self._metrics.count("agent.refused")
            execution.refuse(reason, retry_after_s)
            await self._wake(execution)

    async def _refuse_all_waiting(self, reason: str) -> None:
        """Refuse all waiting work, so that the entries can send it elsewhere."""
        for work in self._admission.drain():
            await self._refuse_waiting(work, reason, None)

    async def _wake(self, execution: Execution) -> None:
        """Notify the session of an attempt that it has new events."""
        session = self._sessions.get(execution.attempt)
        if session is not None:
            await session.wake()

    async def _wake_sessions(self) -> None:
        """Notify all sessions that the load has changed."""
        for session in list(self._open_sessions):
            await session.wake()
