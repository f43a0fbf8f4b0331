"""Run one request at the upstream and relay its answer, resuming it over new connections."""

from collections.abc import Awaitable, Callable

from bluebellrun.agent._execution import Execution
from bluebellrun.engines import (
    AnswerBrokenError,
    EngineError,
    RequestNotSentError,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
    UpstreamTimeoutError,
)
from bluebellrun.http import Headers, end_to_end
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import Metrics, get_logger

MAX_RESUMES_WITHOUT_PROGRESS = 20
NOT_FORWARDED = frozenset({"host", "content-length", "authorization", "x-request-id", "priority"})

_log = get_logger("agent.relay")

OnChunk = Callable[[Execution], Awaitable[None]]


class UpstreamRelay:
    """Relay one execution from its upstream.

    A model engine's stream that breaks or stalls is resumed over a new connection, at the offset
    reached. If the engine cannot resume it, the answer fails.
    """

    def __init__(
        self,
        client: UpstreamClient,
        execution: Execution,
        silence_s: float,
        on_chunk: OnChunk,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._execution = execution
        self._silence_s = silence_s
        self._on_chunk = on_chunk
        self._metrics = metrics
        self._resumes = 0
        self._resume_offset = -1

    async def run(self) -> int:
        """Send the request and collect its answer; return its token count.

        Raises ``RequestNotSentError`` and ``RequestDeclinedError`` when it did not run, and other
        errors of ``EngineError`` when its answer cannot be completed.
        """
        execution = self._execution
        execution.mark_sent()
        completed = False
        try:
            answer = await self._open()
            while not await self._collect(answer):
                answer = await self._resume(answer)
            execution.complete()
            completed = True
        finally:
            if not completed:
                await spawn_background(self._client.cancel, execution.attempt)
        return answer.tokens

    async def _open(self) -> UpstreamAnswer:
        """Send the request; resume over a new connection if it breaks or times out."""
        try:
            return await self._client.open(upstream_request(self._execution, self._silence_s))
        except (UpstreamTimeoutError, AnswerBrokenError) as error:
            return await self._resume_after(error, None)

    async def _collect(self, answer: UpstreamAnswer) -> bool:
        """Collect an answer; return false when its connection failed before the end."""
        execution = self._execution
        try:
            if not execution.head_received:
                execution.record_head(answer.status, end_to_end(answer.headers))
            while data := await answer.read():
                await execution.append(data)
                await self._on_chunk(execution)
        except (UpstreamTimeoutError, AnswerBrokenError) as error:
            self._error: EngineError = error
            return False
        finally:
            await answer.close()
        return True

    async def _resume(self, answer: UpstreamAnswer) -> UpstreamAnswer:
        """Return the rest of an answer whose connection failed."""
        return await self._resume_after(self._error, answer)

    async def _resume_after(
        self, error: EngineError, broken: UpstreamAnswer | None
    ) -> UpstreamAnswer:
        """Open the rest of an answer; raise ``error`` when it cannot be resumed."""
        offset = self._execution.received_bytes
        self._resumes = self._resumes + 1 if offset == self._resume_offset else 1
        self._resume_offset = offset
        if self._resumes > MAX_RESUMES_WITHOUT_PROGRESS:
            raise error
        attempt = self._execution.attempt
        _log.warning(
            "resuming answer over a new connection",
            attempt=attempt,
            offset=offset,
            error=str(error),
        )
        self._metrics.count("agent.resumes")
        try:
            resumed = await self._client.resume(attempt, offset, broken)
        except RequestNotSentError as connect_error:
            raise AnswerBrokenError(f"{error}; and no new connection: {connect_error}") from error
        if resumed is None:
            raise error
        return resumed


def upstream_request(execution: Execution, silence_s: float) -> UpstreamRequest:
    """Return the request that is sent to the upstream."""
    submit, assigned_priority = execution.submit, execution.work.engine_priority
    headers: Headers = [
        (name, value) for name, value in end_to_end(submit.headers) if name not in NOT_FORWARDED
    ]
    return UpstreamRequest(
        attempt=submit.attempt,
        method=submit.method,
        target=submit.target,
        headers=headers,
        body=submit.body,
        priority=submit.priority if assigned_priority is None else assigned_priority,
        silence_s=silence_s,
    )
