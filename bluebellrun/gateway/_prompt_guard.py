"""Keep requests whose prompts crash upstreams away from them, and find out which those are."""

import time
from collections.abc import Callable, Collection
from enum import Enum

import curio

from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._models import Upstream
from bluebellrun.gateway._outcomes import Lost
from bluebellrun.quarantine import Allowed, Decision, Pending, Probe, PromptQuarantine, Quarantined
from bluebellrun.telemetry import get_logger

# Interval at which a request checks whether reports or a probe have settled its prompt.
DECISION_INTERVAL_S = 0.04
# A probe is announced for so long before it is sent; the others' announcements arrive within some
# rounds of status datagrams.
PROBE_ANNOUNCEMENT_S = 0.3
# Checks of an upstream that closed a connection on which an answer was beginning.
END_CHECKS_AFTER_HEAD = 2

_log = get_logger("prompt-guard")


class LossCause(Enum):
    """Why an attempt's answer was lost."""

    # The upstream's process ended as the answer was about to begin.
    CRASH = "crash"
    # The upstream's process ended: it was killed, or crashed under another request.
    ENDED = "ended"
    # The upstream closed or reset the connection and goes on.
    CLOSED = "closed"
    # The upstream fell silent, its answer was invalid, or its process was not checked.
    OTHER = "other"


# Called with the service and the cause of a lost attempt.
RecordLoss = Callable[[str, LossCause], None]


class PromptGuard:
    """Apply the quarantine of prompt parts to this entry's requests.

    ``crash_recorded`` is set when this entry has seen a crash that accuses a part.
    """

    def __init__(
        self,
        quarantine: PromptQuarantine,
        fleet: Fleet,
        entry: str,
        record_loss: RecordLoss = lambda service, cause: None,
        crash_recorded: curio.Event | None = None,
    ) -> None:
        self._quarantine = quarantine
        self._entry = entry
        self._fleet = fleet
        self._record_loss = record_loss
        self._crash_recorded = crash_recorded or curio.Event()
        self._refusals = 0

    @property
    def refusals(self) -> int:
        """Return how many requests were not sent because of their prompts."""
        return self._refusals

    def decide(self, service: str, parts: Collection[str]) -> Decision:
        """Return what is to be done with a request now."""
        return self._quarantine.decide(service, parts, time.monotonic())

    async def admit(self, service: str, parts: Collection[str], deadline: float) -> Decision:
        """Return the decision on a request; wait for a pending one until the deadline.

        A probe has been announced to the other entries when it is returned; of several entries
        only one goes on with it. The caller ends it by ``end_probe``.
        """
        while True:
            decision = self.decide(service, parts)
            if isinstance(decision, Probe):
                if await self._announce(decision):
                    return decision
                decision = Pending()
            if not isinstance(decision, Pending) or time.monotonic() >= deadline:
                return decision
            await curio.sleep(DECISION_INTERVAL_S)

    async def _announce(self, probe: Probe) -> bool:
        """Announce a probe; return whether no other entry probes the same parts."""
        self._quarantine.begin_probe(probe.parts, time.monotonic())
        is_mine = False
        try:
            await curio.sleep(PROBE_ANNOUNCEMENT_S)
            now = time.monotonic()
            is_mine = not self._quarantine.yields_probe(probe.parts, self._entry, now)
        finally:
            if not is_mine:
                self.end_probe(probe)
        return is_mine

    def record_refusal(self, request_id: str, service: str, decision: Decision) -> None:
        """Count and log a request that is not sent."""
        self._refusals += 1
        match decision:
            case Quarantined(part, crashes, retry_after_s):
                _log.info(
                    "request quarantined",
                    request=request_id,
                    service=service,
                    part=part,
                    crashes=crashes,
                    probe_in_s=round(retry_after_s, 1),
                )
            case Allowed() | Pending() | Probe():
                _log.info("request not decided in time", request=request_id, service=service)

    def record_probe(self, request_id: str, probe: Probe) -> None:
        """Record that a request with suspected parts is sent."""
        _log.info("suspected parts probed", request=request_id, parts=probe.parts)
        self._quarantine.begin_probe(probe.parts, time.monotonic())

    def end_probe(self, probe: Probe) -> None:
        """Record that a probe has ended."""
        self._quarantine.end_probe(probe.parts)

    def record_answer(
        self, request_id: str, service: str, parts: Collection[str], prompt: str = ""
    ) -> None:
        """Record that an answer has begun, which clears the parts of its prompt and all of it.

        ``prompt`` is the digest of the whole prompt.
        """
        cleared = self._quarantine.record_answer(service, parts, time.monotonic(), prompt)
        if cleared:
            _log.info("suspected parts cleared", request=request_id, service=service, parts=cleared)

    async def record_lost(
        self,
        upstream: Upstream,
        parts: Collection[str],
        outcome: Lost,
        has_head: bool,
        events: int,
        prompt: str = "",
    ) -> LossCause:
        """Record an attempt whose answer was lost; return the cause.

        If the upstream has ended, and the request had no content of its answer yet, the parts of
        its prompt are accused, or all of it by the digest ``prompt``.
        """
        has_prompt = bool(parts or prompt)
        cause = await self._cause(upstream, has_prompt, outcome, has_head, events)
        self._record_loss(upstream.service, cause)
        if cause in (LossCause.CRASH, LossCause.ENDED) and has_prompt and not events:
            now = time.monotonic()
            accused = self._quarantine.record_crash(
                upstream.service, upstream.incarnation, parts, has_head, now, prompt
            )
            _log.info(
                "upstream ended under a request",
                upstream=upstream.instance,
                started_ms=upstream.started_ms,
                answer_begun=has_head,
                parts=tuple(parts),
                prompt=prompt,
                accused=accused,
            )
            if accused:
                await self._crash_recorded.set()
        return cause

    async def _cause(
        self, upstream: Upstream, has_prompt: bool, outcome: Lost, has_head: bool, events: int
    ) -> LossCause:
        """Return why an answer was lost; only a process that had a suspect is checked."""
        if not outcome.ended_by_peer:
            return LossCause.OTHER
        if events or not has_prompt:
            return LossCause.ENDED if self._fleet.is_known_ended(upstream) else LossCause.CLOSED
        # Without a head it may be an idle connection that the upstream has closed.
        checks = END_CHECKS_AFTER_HEAD if has_head else 1
        if not await self._fleet.has_ended(upstream, checks):
            return LossCause.CLOSED
        return LossCause.CRASH if has_head else LossCause.ENDED
