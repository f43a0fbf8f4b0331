"""How many tokens each customer had sent to the other upstreams since it last used one.

An agent sees only its own part of a customer's work. The entry tells it with each request what the
customer used elsewhere in the meantime, and the agent moves the customer back by as much.
"""

from collections import OrderedDict

from bluebellrun.admission import stated_answer_tokens
from bluebellrun.entry._callers import CallerRequest

MAX_PAIRS = 65_536
DEFAULT_ANSWER_TOKENS = 256
PLAIN_REQUEST_TOKENS = 1


class CustomerSpread:
    """Count a customer's tokens over all upstreams of a service, and at each.

    Only what ran counts: a refused request used nothing.
    """

    def __init__(self) -> None:
        self._totals: dict[tuple[str, str], float] = {}
        self._seen_totals: OrderedDict[tuple[str, str, str], float] = OrderedDict()

    def consume_elsewhere(self, request: CallerRequest, upstream: str) -> float:
        """Return the tokens that went elsewhere since the last request to an upstream."""
        pair = (request.service.name, request.customer.name)
        key = (*pair, upstream)
        total = self._totals.get(pair, 0.0)
        elsewhere = total - self._seen_totals.pop(key, total)
        self._seen_totals[key] = total
        if len(self._seen_totals) > MAX_PAIRS:
            self._seen_totals.popitem(last=False)
        return elsewhere

    def record_ran(self, request: CallerRequest, upstream: str) -> None:
        """Count a request that an upstream answered."""
        pair = (request.service.name, request.customer.name)
        tokens = _token_cost(request)
        self._totals[pair] = self._totals.get(pair, 0.0) + tokens
        key = (*pair, upstream)
        if key in self._seen_totals:
            self._seen_totals[key] += tokens


def _token_cost(request: CallerRequest) -> int:
    """Return the cost of a request in tokens, as far as it can be told from outside."""
    if not request.model:
        return PLAIN_REQUEST_TOKENS
    return stated_answer_tokens(request.body) or DEFAULT_ANSWER_TOKENS
