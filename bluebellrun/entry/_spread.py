"""Track the tokens that each customer used at other upstreams since its last request at one.

An agent sees only its own part of a customer's work. Each request carries the tokens that the
customer used elsewhere in the meantime, and the agent's fair queue charges them to the customer.
"""

from collections import OrderedDict

from bluebellrun.admission import stated_answer_tokens
from bluebellrun.entry._callers import CallerRequest

MAX_PAIRS = 65_536
DEFAULT_ANSWER_TOKENS = 256
PLAIN_REQUEST_TOKENS = 1


class CustomerSpread:
    """Count each customer's tokens per service, in total and as last seen by each upstream.

    Only requests that ran are counted; a refused request uses no tokens.
    """

    def __init__(self) -> None:
        self._totals: dict[tuple[str, str], float] = {}
        self._seen_totals: OrderedDict[tuple[str, str, str], float] = OrderedDict()

    def consume_elsewhere(self, request: CallerRequest, upstream: str) -> float:
        """Return and reset the tokens used elsewhere since the last request to an upstream."""
        pair = (request.service.name, request.customer.name)
        key = (*pair, upstream)
        total = self._totals.get(pair, 0.0)
        elsewhere = total - self._seen_totals.pop(key, total)
        self._seen_totals[key] = total
        if len(self._seen_totals) > MAX_PAIRS:
            self._seen_totals.popitem(last=False)
        return elsewhere

    def record_ran(self, request: CallerRequest, upstream: str) -> None:
        """Add the tokens of a request that ran at an upstream."""
        pair = (request.service.name, request.customer.name)
        tokens = _token_cost(request)
        self._totals[pair] = self._totals.get(pair, 0.0) + tokens
        key = (*pair, upstream)
        if key in self._seen_totals:
            self._seen_totals[key] += tokens


def _token_cost(request: CallerRequest) -> int:
    """Return a request's cost in tokens, as stated in its body or by default."""
    if not request.model:
        return PLAIN_REQUEST_TOKENS
    return stated_answer_tokens(request.body) or DEFAULT_ANSWER_TOKENS
