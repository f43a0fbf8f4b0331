"""Check one request's prompt before it is sent, and withhold it if it may crash upstreams."""

from bluebellrun.gateway._models import CallerRequest, Refused, Result, Unresolved
from bluebellrun.gateway._prompt_guard import PromptGuard
from bluebellrun.quarantine import Allowed, Decision, Pending, Probe, Quarantined

UNPROCESSABLE = 422
BAD_GATEWAY = 502
UNAVAILABLE = 503
# Crashes under a prompt from which on its requests are refused for good.
CRASHES_OF_FINAL_REFUSAL = 2
# A probe of a suspected prompt takes some tenths of a second.
UNDECIDED_RETRY_S = 0.5


class PromptCheck:
    """The check of one request's prompt, and the probe that the request was allowed."""

    def __init__(self, request: CallerRequest, service: str, guard: PromptGuard) -> None:
        self._request = request
        self._service = service
        self._guard = guard
        self._probe: Probe | None = None
        self._is_withheld = False

    @property
    def is_withheld(self) -> bool:
        """Return whether the request is not sent because of its prompt."""
        return self._is_withheld

    def decide(self) -> Quarantined | None:
        """Return why the request cannot be sent now, none if it may be queued."""
        decision = self._guard.decide(self._service, self._prompt_keys())
        return decision if isinstance(decision, Quarantined) else None

    async def check(self, deadline: float, attempts: int, runs: int) -> Result | None:
        """Return none if the request may be sent as far as its prompt is known, else its result.

        Of its ``attempts``, ``runs`` may have run.
        """
        decision = await self._guard.admit(self._service, self._prompt_keys(), deadline)
        match decision:
            case Allowed():
                return None
            case Probe():
                self._probe = decision
                return None
            case Pending() | Quarantined():
                return self.withhold(decision, attempts, runs)

    def record_probe(self) -> None:
        """Record that the request is sent as a probe, if it is one."""
        if self._probe is not None:
            self._guard.record_probe(self._request.id, self._probe)

    def end_probe(self) -> None:
        """End the probe of suspected parts that this request was allowed, if it was."""
        if self._probe is not None:
            self._guard.end_probe(self._probe)
            self._probe = None

    def withhold(self, decision: Decision, attempts: int = 0, runs: int = 0) -> Result:
        """Return the result of a request that is not sent because of its prompt."""
        self._is_withheld = True
        self._guard.record_refusal(self._request.id, self._service, decision)
        if runs:
            reason = "an upstream ended under the request; it is not sent again"
            return Unresolved(BAD_GATEWAY, reason, attempts)
        match decision:
            case Quarantined(part, crashes, retry_after_s):
                reason = f"{crashes} upstreams ended under prompts with part {part}"
                if crashes >= CRASHES_OF_FINAL_REFUSAL:
                    return Refused(UNPROCESSABLE, reason)
                return Refused(UNAVAILABLE, reason, retry_after_s)
            case _:
                reason = "an upstream ended under a prompt with the same part; it is being probed"
                return Refused(UNAVAILABLE, reason, UNDECIDED_RETRY_S)

    def _prompt_keys(self) -> tuple[str, ...]:
        """Return what of the prompt may be suspected: its shared parts, and all of it."""
        return (*self._request.shared_parts, self._request.prompt_digest)
