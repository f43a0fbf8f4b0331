"""Read an engine's load report in the Prometheus text format.

The report lags behind the engine: use it for monitoring, not for admission decisions.
"""

from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from bluebellrun.core import Address
from bluebellrun.engines._exceptions import EngineError
from bluebellrun.http import ClientTimeouts, HttpClient, TransportError

OK = 200
METRICS_PATH = "/metrics"


class LoadReportError(EngineError):
    """An engine's load report could not be read."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A load report: requests waiting and running, step time and total tokens."""

    waiting: float = 0.0
    running: float = 0.0
    step_s: float = 0.0
    tokens: float = 0.0


def parse_load(text: str) -> EngineLoad:
    """Parse a report; raise ``LoadReportError`` if it is malformed or lacks a sample."""
    try:
        samples = {
            sample.name: sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }
        return EngineLoad(
            waiting=samples["engine_requests_waiting"],
            running=samples["engine_requests_running"],
            step_s=samples["engine_step_seconds"],
            tokens=samples["engine_tokens_total"],
        )
    except (ValueError, KeyError) as error:
        raise LoadReportError(f"the load report is malformed: {error!r}") from error


class LoadClient:
    """Read the load report of one engine."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._client = HttpClient(address, ClientTimeouts(timeout_s, timeout_s, timeout_s))

    async def read(self) -> EngineLoad:
        """Return the engine's load; raise ``LoadReportError`` if it cannot be read."""
        try:
            status, body = await self._client.fetch("GET", METRICS_PATH, [])
        except TransportError as error:
            raise LoadReportError(str(error)) from error
        if status != OK:
            raise LoadReportError(f"the engine answered {status} to {METRICS_PATH}")
        return parse_load(body.decode(errors="replace"))
