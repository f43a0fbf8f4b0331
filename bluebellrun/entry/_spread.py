"""How many tokens each customer had sent to the other upstreams since it last used one.

An agent sees only its own part of a customer's work. The entry tells it with each request what the
customer used elsewhere in the meantime, and the agent moves the customer back by as much.
"""

from collections import OrderedDict

from bluebellrun.admission import stated_answer_tokens
from bluebellrun.entry._callers import CallerRequest

MAX_PAIRS = 65_536
UNSTATED_TOKENS = 256
PLAIN_COST = 1


class CustomerSpread:
    """Count a customer's tokens over all upstreams of a service, and at each.

    Only what ran counts: a refused request used nothing.
    """

    def __init__(self) -> None:
        self._totals: dict[tuple[str, str], float] = {}
        self._seen: OrderedDict[tuple[str, str, str], float] = OrderedDict()

    def take(self, request: CallerRequest, upstream: str) -> float:
        """Return the tokens that went elsewhere since the last request to an upstream."""
        pair = (request.service.name, request.customer.name)
        key = (*pair, upstream)
        total = self._totals.get(pair, 0.0)
        elsewhere = total - self._seen.pop(key, total)
        self._seen[key] = total
        if len(self._seen) > MAX_PAIRS:
            self._seen.popitem(last=False)
        return elsewhere

    def note_ran(self, request: CallerRequest, upstream: str) -> None:
        """Count a request that an upstream answered."""
        pair = (request.service.name, request.customer.name)
        tokens = _tokens(request)
        self._totals[pair] = self._totals.get(pair, 0.0) + tokens
        key = (*pair, upstream)
        if key in self._seen:
            self._seen[key] += tokens


def _tokens(request: CallerRequest) -> int:
    """Return the cost of a request in tokens, as far as it can be told from outside."""
    if not request.model:
        return PLAIN_COST
    return stated_answer_tokens(request.body) or UNSTATED_TOKENS
