"""Choose the upstream of one attempt, with a permit where the upstream limits its rate."""

import time
from collections.abc import Callable, Collection

import curio

from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._models import CallerRequest, Upstream
from bluebellrun.gateway._relay_terms import RelayTerms
from bluebellrun.http import HttpExchange
from bluebellrun.telemetry import get_logger

# Permits of limited upstreams that are asked for before only unlimited ones are considered.
MAX_DENIED_PERMITS = 8
# A new request waits for a permit of a cold upstream for this fraction of its objective; its answer
# needs the rest.
MAX_PERMIT_WAIT_FRACTION = 0.5

_log = get_logger("relay")


class UpstreamChoice:
    """Choose upstreams for one request.

    ``has_caller_given_up`` returns whether a stream's caller gives up within some seconds.
    """

    def __init__(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        terms: RelayTerms,
        fleet: Fleet,
        has_caller_given_up: Callable[[float], bool],
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._route = terms.route
        self._service = terms.service
        self._fleet = fleet
        self._has_caller_given_up = has_caller_given_up
        # When the upstream was chosen, and whether it was bounded as a cold one then.
        self._chosen_at, self._had_cold_permit = 0.0, False

    async def choose(self, excluded: Collection[str]) -> Upstream | None:
        """Return an upstream that accepts the request now, or none.

        Where all are at their rate limits, a stream that has begun waits for the next permit, and
        so does a new request for a short time if upstreams are cold.
        """
        denied = 0
        while True:
            now = time.monotonic()
            unlimited = denied >= MAX_DENIED_PERMITS
            upstream = self._fleet.choose(self._service, excluded, now, unlimited)
            if upstream is None:
                if not await self._await_permit():
                    return None
                denied = 0
                continue
            self._chosen_at, self._had_cold_permit = now, self._fleet.permits.is_cold(upstream)
            if await self._fleet.permits.acquire(upstream):
                return upstream
            denied += 1
            self._log_denied_permit(upstream)

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether the request may still be sent to the upstream that was chosen."""
        return self._fleet.may_send(upstream, self._had_cold_permit, self._chosen_at)

    async def _await_permit(self) -> bool:
        """Wait until the request may get a permit; return false if it does not wait.

        A new request waits only for cold upstreams, and only while it can still be on time.
        """
        now = time.monotonic()
        wait_s = self._fleet.available_in_s(self._service, now)
        if not wait_s:
            return False
        if self._exchange.started:
            if self._has_caller_given_up(wait_s):
                return False
        else:
            timely = self._request.received + MAX_PERMIT_WAIT_FRACTION * self._route.objective_s
            if not self._fleet.cold.count(now) or now + wait_s > timely:
                return False
        await curio.sleep(wait_s)
        return True

    def _log_denied_permit(self, upstream: Upstream) -> None:
        """Log that an upstream takes no more requests now."""
        now = time.monotonic()
        _log.info(
            "upstream at its limit",
            request=self._request.id,
            upstream=upstream.instance,
            per_s=self._fleet.permits.limits.limit(upstream.incarnation),
            limit_age_s=round(self._fleet.permits.limits.age_s(upstream.incarnation, now), 3),
            wait_s=round(self._fleet.permits.wait_s(upstream, now), 3),
            is_cold=self._had_cold_permit,
        )
