"""Learned cost of requests, by customer and kind, and the rate at which it is processed."""

import re
from collections import OrderedDict

from bluebellrun.admission._models import Work

PROMPT_TOKEN_COST = 0.01
UNSTATED_ANSWER_TOKENS = 256.0
LEARNING_RATE = 0.1
MAX_KINDS = 4_096
RATE_DECAY = 0.95
STATED_LENGTH = re.compile(rb'"max_(?:completion_)?tokens"\s*:\s*(\d{1,7})\b')


def stated_answer_tokens(body: bytes) -> int:
    """Return the longest answer that a model request asks for in tokens, 0 where not stated."""
    found = STATED_LENGTH.search(body)
    return int(found.group(1)) if found else 0


class CostEstimates:
    """Estimate a request's cost in tokens: its answer, and a little for its prompt.

    Where the request states a longest answer, the part of it that is used is learned; else the
    length itself. The least recently used kinds are dropped.
    """

    def __init__(self) -> None:
        self._learned: OrderedDict[tuple[str, str, bool], float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of kinds with an estimate."""
        return len(self._learned)

    def estimate(self, work: Work) -> float:
        """Return the expected cost in tokens."""
        answer = self._learned.get(self._key(work), self._default_estimate(work))
        if work.max_tokens:
            answer *= work.max_tokens
        return answer + self.prompt_cost(work)

    def prompt_cost(self, work: Work) -> float:
        """Return the cost of the prompt in tokens."""
        return work.prompt_tokens * PROMPT_TOKEN_COST

    def learn(self, work: Work, tokens: int) -> None:
        """Update the estimate from an answer's length."""
        key = self._key(work)
        observed = tokens / work.max_tokens if work.max_tokens else float(tokens)
        previous = self._learned.pop(key, observed)
        self._learned[key] = previous + LEARNING_RATE * (observed - previous)
        if len(self._learned) > MAX_KINDS:
            self._learned.popitem(last=False)

    def _default_estimate(self, work: Work) -> float:
        """Return the default estimate for an unknown kind."""
        return 1.0 if work.max_tokens else UNSTATED_ANSWER_TOKENS

    def _key(self, work: Work) -> tuple[str, str, bool]:
        """Return the key shared by requests of similar length."""
        return work.customer, work.kind, work.max_tokens > 0


class ServiceRate:
    """Learn how many tokens of cost one running request processes per second."""

    def __init__(self) -> None:
        self._cost = 0.0
        self._seconds = 0.0

    @property
    def known(self) -> bool:
        """Return whether anything has been learned."""
        return self._seconds > 0

    @property
    def per_request(self) -> float:
        """Return the tokens a second of one running request; infinite while not known."""
        return self._cost / self._seconds if self.known else float("inf")

    def learn(self, cost: float, seconds: float) -> None:
        """Update the rate from a request's cost and duration."""
        self._cost = RATE_DECAY * self._cost + cost
        self._seconds = RATE_DECAY * self._seconds + max(seconds, 1e-6)
