"""The terms of one request: its route, service, urgency and limits of time."""

import time
from dataclasses import dataclass
from random import Random

from bluebellrun.deployment import Deployment, Route

# Callers give up a stream after a pause of two seconds, this many times the objective, or this many
# times the longest pause that is still in time, whichever is longest.
MIN_STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_OBJECTIVES = 4
STREAM_TIMEOUT_PAUSES = 8


@dataclass(frozen=True, slots=True)
class RelayTerms:
    """The route and limits of a request.

    ``deadline`` is in seconds of the monotonic clock. ``is_retry`` means that the caller was
    refused before. The answer is expected to be ``length`` times as long as typical.
    """

    route: Route
    service: str
    customer: str | None
    urgency: int
    deadline: float
    is_retry: bool = False
    length: float = 1.0

    @property
    def remaining_s(self) -> float:
        """Return the seconds left before the request's deadline."""
        return self.deadline - time.monotonic()

    @property
    def stream_timeout_s(self) -> float:
        """Return how long a caller waits for a stream's next event."""
        route = self.route
        return max(
            MIN_STREAM_TIMEOUT_S,
            STREAM_TIMEOUT_OBJECTIVES * route.objective_s,
            STREAM_TIMEOUT_PAUSES * (route.longest_pause_s or 0.0),
        )


def choose_service(route: Route, random: Random) -> str:
    """Return the service of one request: the route's, or one of them by their shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service


def request_urgency(route: Route, deployment: Deployment, key: str | None) -> int:
    """Return a request's priority: its customer's, if it has one, else its route's."""
    customer = deployment.find_customer(key)
    if customer is None or customer.priority is None or not route.needs_key:
        return route.priority
    return customer.priority
