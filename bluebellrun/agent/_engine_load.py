"""Poll the engine's load report and publish it as metrics."""

import curio

from bluebellrun.core import Clock
from bluebellrun.engines import EngineLoad, LoadClient, LoadReportError
from bluebellrun.telemetry import Metrics, get_logger

_log = get_logger("agent.load")


class EngineLoadPoller:
    """Poll the engine's load at a fixed interval."""

    def __init__(
        self, client: LoadClient, interval_s: float, clock: Clock, metrics: Metrics
    ) -> None:
        self._client = client
        self._interval_s = interval_s
        self._clock = clock
        self._metrics = metrics
        self._load: EngineLoad | None = None
        self._read_at = 0.0

    @property
    def load(self) -> EngineLoad | None:
        """Return the last report, or none when the engine has not answered yet."""
        return self._load

    @property
    def age_s(self) -> float:
        """Return the age of the last report, in seconds."""
        return self._clock.now() - self._read_at

    async def run(self) -> None:
        """Poll until cancelled; log when the engine stops or starts answering."""
        answering = True
        while True:
            answered = await self._read()
            if answered != answering:
                _log.info("engine load report availability changed", answering=answered)
            answering = answered
            await curio.sleep(self._interval_s)

    async def _read(self) -> bool:
        """Read one report; return whether the engine answered."""
        try:
            self._load = await self._client.read()
        except LoadReportError:
            return False
        self._read_at = self._clock.now()
        self._metrics.gauge("agent.engine.waiting", self._load.waiting)
        self._metrics.gauge("agent.engine.running", self._load.running)
        self._metrics.gauge("agent.engine.step_seconds", self._load.step_s)
        return True
