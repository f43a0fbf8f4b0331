"""What the admission decision needs to know of a request."""

from dataclasses import dataclass

from bluebellrun.deployment import Route

# Steps of urgency by which a retry ranks behind new requests at first, and ahead of them during the
# last RETRY_ESCALATION_S before its deadline.
RETRY_STEPS_BEHIND = 1
RETRY_STEPS_AHEAD = 1
RETRY_ESCALATION_S = 0.7


@dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """Inputs to the admission decision for one request.

    ``send_deadline``, in seconds of the monotonic clock, is the last time at which sending it can
    still produce an answer in time. ``is_retry`` means that its caller was refused or cut off
    before. It was ``received`` at one reading of that clock and ends at ``deadline``. Token counts
    are 0 where none were given.
    """

    request_id: str
    route: Route
    urgency: int
    send_deadline: float
    is_retry: bool = False
    received: float = 0.0
    deadline: float = 0.0
    prompt_tokens: int = 0
    answer_tokens: int = 0

    def urgency_at(self, now: float) -> int:
        """Return the request's urgency relative to new requests."""
        if not self.is_retry:
            return self.urgency
        if self.is_last_chance_at(now):
            return self.urgency - RETRY_STEPS_AHEAD
        return self.urgency + RETRY_STEPS_BEHIND

    def is_last_chance_at(self, now: float) -> bool:
        """Return whether the request soon fails for good unless it is sent."""
        return self.is_retry and now >= self.send_deadline - RETRY_ESCALATION_S
