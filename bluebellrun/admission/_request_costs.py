"""The cost to callers of answering a request late or not at all, and its cost in slot time. Pure.

The configuration names no worths, so they are derived from what it does name: the priority, and the
size of the request. The worths only order requests of one service; their unit has no meaning.
"""

from dataclasses import dataclass

from bluebellrun.deployment import EngineTerms


@dataclass(frozen=True, slots=True)
class CostSettings:
    """Relative worths of answers.

    Each step of priority is worth ``worth_per_step`` of the one before; a late answer
    ``late_fraction`` of one on time. Worth and slot time grow alike with the request's size, from
    ``min_size_factor`` on, so that large and small requests compete on equal terms. A refused
    caller with a retry left is served with the probability ``return_probability``, and late.
    """

    worth_per_step: float = 0.5
    late_fraction: float = 1 / 3
    min_size_factor: float = 0.3
    return_probability: float = 0.8


@dataclass(frozen=True, slots=True)
class SheddingRequest:
    """What the decisions need to know of a request; times in seconds of the monotonic clock.

    If it is sent after ``timely_until``, its answer is late; after ``send_deadline`` its caller no
    longer gets one, but may come back until ``deadline`` unless this is a retry. ``size`` is its
    work relative to a usual request.
    """

    id: str
    urgency: int
    is_retry: bool
    timely_until: float
    send_deadline: float
    deadline: float
    size: float = 1.0

    def is_timely_at(self, now: float) -> bool:
        """Return whether the answer can still be on time."""
        return not self.is_retry and now <= self.timely_until


class RequestCosts:
    """Compare requests by what callers lose if they are not sent now."""

    def __init__(self, settings: CostSettings) -> None:
        self._settings = settings

    def size_factor(self, size: float) -> float:
        """Return the worth and slot time of a request relative to those of a usual one."""
        return self._settings.min_size_factor + (1.0 - self._settings.min_size_factor) * size

    def worth_on_time(self, request: SheddingRequest) -> float:
        """Return the worth of an answer on time."""
        return self._worth_of_urgency(request.urgency) * self.size_factor(request.size)

    def worth_late(self, request: SheddingRequest) -> float:
        """Return the worth of a late answer."""
        return self._settings.late_fraction * self.worth_on_time(request)

    def loss_per_slot_time(self, request: SheddingRequest, now: float) -> float:
        """Return what a refusal now costs, for each unit of slot time that the request needs.

        It is the worth of the answer if the request is sent now, less what it is still worth after
        a refusal: a retry has no further one. Worth and slot time grow alike with the size.
        """
        if now > request.send_deadline:
            return 0.0
        settings = self._settings
        if request.is_timely_at(now):
            return self.loss_of_new(request.urgency)
        returns = 0.0 if request.is_retry else settings.return_probability
        late = settings.late_fraction * self._worth_of_urgency(request.urgency)
        return (1.0 - returns) * late

    def loss_of_new(self, urgency: int) -> float:
        """Return what refusing a new request of an urgency costs for each unit of slot time."""
        fraction = 1.0 - self._settings.return_probability * self._settings.late_fraction
        return fraction * self._worth_of_urgency(urgency)

    def _worth_of_urgency(self, urgency: int) -> float:
        """Return the worth of a usual request's answer on time."""
        return float(self._settings.worth_per_step ** max(-8, min(32, urgency)))


def relative_size(prompt_tokens: int, answer_tokens: int, engine: EngineTerms) -> float:
    """Return the work of a request relative to a usual one, both in seconds alone in a batch."""
    usual_s = _work_s(engine.usual_prompt_tokens, engine.usual_answer_tokens, engine)
    prompt = prompt_tokens or engine.usual_prompt_tokens
    answer = answer_tokens or engine.usual_answer_tokens
    return _work_s(prompt, answer, engine) / usual_s if usual_s > 0 else 1.0


def first_event_s(prompt_tokens: int, engine: EngineTerms, pass_s: float) -> float:
    """Return the longest time from sending a request to the first event of its answer.

    A request may have to wait for a whole pass before its own, which is longer by the reading of
    its prompt.
    """
    prompt = prompt_tokens or engine.usual_prompt_tokens
    return 2.0 * pass_s + reading_s(prompt, engine)


def hold_s(engine: EngineTerms, pass_s: float) -> float:
    """Return how long a usual request holds a slot at this duration of passes."""
    passes = engine.usual_answer_tokens / engine.stride
    return max(1.0, passes) * pass_s + reading_s(engine.usual_prompt_tokens, engine)


def reading_s(prompt_tokens: float, engine: EngineTerms) -> float:
    """Return how long an engine reads a prompt, 0 where its terms do not say."""
    rate = engine.read_tokens_per_s
    return prompt_tokens / rate if rate > 0 else 0.0


def _work_s(prompt_tokens: float, answer_tokens: float, engine: EngineTerms) -> float:
    """Return how long an upstream that has nothing else to do works on a request."""
    step_s = engine.step_s / max(1, engine.slots) + engine.writer_s
    return reading_s(prompt_tokens, engine) + answer_tokens * step_s
